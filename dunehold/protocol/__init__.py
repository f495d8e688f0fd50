"""Wire formats, one module per counterpart. The only place that knows wire names."""

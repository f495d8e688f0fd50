"""Wire formats, one module per counterpart.

These modules translate between the outer names of fields and values on the wire and the terms
used in the rest of the code, which does not use the outer names.
"""

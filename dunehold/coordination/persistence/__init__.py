"""Between a node and the state service: its view kept current, its records written."""

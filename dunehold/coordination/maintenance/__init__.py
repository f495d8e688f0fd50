"""Operators' maintenance orders: draining and replacing machines within disruption budgets."""

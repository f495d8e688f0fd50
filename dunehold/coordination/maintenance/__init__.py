"""Orders of operators: machines taken out of service and replaced, within budgets."""

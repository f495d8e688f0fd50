"""What is durable (the store) and what may be on which machine (the ledger)."""

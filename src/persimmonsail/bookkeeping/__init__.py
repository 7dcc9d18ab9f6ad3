"""The task ledger: its records and the state derived from them."""

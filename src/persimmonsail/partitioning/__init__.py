"""Ledger partitions and the entries that hold them."""

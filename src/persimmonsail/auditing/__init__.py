"""Audits and explanations based on logs and the ledger only."""

"""The caller-facing side of an entry."""

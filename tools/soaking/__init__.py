"""Injects random faults into real processes and checks guarantees."""

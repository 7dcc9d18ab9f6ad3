"""Simulated clock, network, signals and processes in one thread.

The roles' ``run`` functions run unchanged. Each process has its own event
loop on a shared virtual clock, so that it can be frozen, killed and
restarted at any point, deterministically.
"""

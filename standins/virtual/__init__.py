"""Fakes of clock, network, signals and processes, in one thread.

They run the roles' own ``run`` functions unchanged. Each process has an
event loop of its own on a shared virtual clock, so that a process can
be frozen, killed and restarted at any point, the same way every time.
"""

"""Scheduling decisions about work and instances, free of I/O."""

"""Translates between persimmonsail and its users' platform.

Only the modules of this folder know the names that the platform uses on
the wire. Each decodes them once, into the package's own types.
"""

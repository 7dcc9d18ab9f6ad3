"""The adapter between persimmonsail and its users' platform.

Only the modules of this package use the platform's names on the wire.
Each decodes them once, into the product's own types.
"""

"""Stand-ins for the services of the platform and its users.

Used by tests and the demo only; not part of the package.
"""

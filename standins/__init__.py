"""Small stand-ins for what the platform and the users bring.

They serve tests and the demo only and are not part of the package.
"""

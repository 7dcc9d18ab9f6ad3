"""The sidecar role: one instance, its worker and its backend server."""

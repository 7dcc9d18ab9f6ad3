"""Multi-step jobs, from acceptance to completion."""

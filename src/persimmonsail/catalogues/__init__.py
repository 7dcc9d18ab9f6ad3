"""The operators' catalogue, and the revision of it in force."""

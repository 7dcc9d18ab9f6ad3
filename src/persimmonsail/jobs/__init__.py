"""Jobs of several steps, from their acceptance to their end."""

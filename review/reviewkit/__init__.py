"""Stand-ins for the cases of this review; standard library only."""

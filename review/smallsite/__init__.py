"""A small deployment on loopback, for the scripts of this review.

Only the standard library is used. The system's own programs run as separate
processes; store, runners and callers are stand-ins inside the script's own
process, so that nothing of them has to be built.
"""

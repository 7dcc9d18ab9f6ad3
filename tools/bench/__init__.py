"""The measuring bench: decision code against small fakes of workers.

Not a cluster simulator: a virtual clock, fakes of the workers at their
interface, and the package's own decision code in between.
"""

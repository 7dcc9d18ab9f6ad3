"""A benchmark of the package's decision code against fake workers.

It is no cluster simulator: the package's own decision code runs on a
virtual clock, with fakes at the workers' interface.
"""

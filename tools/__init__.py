"""Tools for developers; none of them is shipped."""

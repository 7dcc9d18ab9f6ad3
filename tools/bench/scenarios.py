"""Imports all modules of scenarios, which registers the scenarios."""

from tools.bench import scenarios_limits  # noqa: F401
from tools.bench import scenarios_placement  # noqa: F401

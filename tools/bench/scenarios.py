"""Imports every module of scenarios, so that each registers its own."""

from tools.bench import scenarios_limits  # noqa: F401
from tools.bench import scenarios_placement  # noqa: F401

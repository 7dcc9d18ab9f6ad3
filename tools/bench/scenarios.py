"""Imports every module of scenarios, so that each registers its own."""

from tools.bench import scenarios_placement  # noqa: F401

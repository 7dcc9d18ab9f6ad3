"""Hooks of pytest."""

import pytest

from tests import known_red


def pytest_configure(config):
    """Register the plugin for the tests that KNOWN-RED.txt lists."""
    try:
        listed = known_red.load(config.rootpath)
    except known_red.ListInvalid as error:
        raise pytest.UsageError(str(error)) from error
    if listed:
        config.pluginmanager.register(known_red.Plugin(listed), 'known-red')

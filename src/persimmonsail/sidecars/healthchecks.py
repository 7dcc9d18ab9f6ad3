"""A sidecar's health probe of the backend server on its instance.

The sidecar polls ``GET /health`` at an interval: status 200 means that
the backend server accepts new work, any other that it is leaving.
Probing costs one loopback request per interval; an HTTP server in the
sidecar, to which backend servers would announce themselves, would cost
several megabytes per instance.
"""

import typing as t

import anyio

from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail.sidecars import backends
from persimmonsail.sidecars import instance as instance_module

_FAILURE_THRESHOLD = 2


class BackendProbe:
    """Updates an instance's ``backend_leaving``."""

    def __init__(
        self,
        own: instance_module.OwnInstance,
        backend: backends.Backend,
        interval: float,
        announce: t.Callable[[], None],
    ) -> None:
        self._own = own
        self._backend = backend
        self._interval = interval
        self._announce = announce
        self._failures = 0

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await self.probe_once()
            await anyio.sleep(self._interval)

    async def _fetch_health(self) -> bool | None:
        # A connection that goes silent raises no error; the timeout turns
        # it into a failed probe, and the next probe reconnects. A single
        # failure is not conclusive: this process may have been paused.
        try:
            with anyio.fail_after(self._interval):
                serving = await self._backend.is_serving(self._interval)
        except (exceptions.BackendNotConnected, TimeoutError):
            self._failures += 1
            return False if self._failures >= _FAILURE_THRESHOLD else None
        self._failures = 0
        return serving

    async def probe_once(self) -> None:
        """Probe, and announce a change immediately."""
        serving = await self._fetch_health()
        if serving is None:
            return
        if serving is not self._own.backend_leaving:
            return
        self._own.backend_leaving = not serving
        event = 'backend-serving' if serving else 'backend-leaving'
        logs.write_event(event, incarnation=self._own.incarnation)
        self._announce()

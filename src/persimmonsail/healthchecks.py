"""A sidecar's probe of the backend server on its instance.

The sidecar asks ``GET /health`` at an interval: 200 announces a backend
server that takes new work, any other status one that is leaving.
Probing costs a loopback request each interval; an HTTP server in the
sidecar, to which backend servers would announce themselves, costs
several megabytes for each instance.
"""

import typing as t

import anyio

from persimmonsail import backends
from persimmonsail import instance as instance_module
from persimmonsail import logs


class BackendProbe:
    """Keeps an instance's ``backend_leaving`` up to date."""

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

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await self.probe_once()
            await anyio.sleep(self._interval)

    async def probe_once(self) -> None:
        """Probe, and announce a change at once."""
        serving = False
        # A connection that goes silent gives no error; the time limit
        # turns it into a failed probe, the next one connects anew.
        with anyio.move_on_after(self._interval):
            serving = await self._backend.is_serving(self._interval)
        if serving is not self._own.backend_leaving:
            return
        self._own.backend_leaving = not serving
        event = 'backend-serving' if serving else 'backend-leaving'
        logs.write_event(event, incarnation=self._own.incarnation)
        self._announce()

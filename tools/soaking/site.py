"""The deployment that a soak runs: real processes on loopback."""

import dataclasses
import pathlib
import typing as t

from standins import deployment
from standins import platform_deployment

# Short, so that a soak has many takeovers; the durations that a leader
# grants and its successor waits are derived from it.
LEASE_SECONDS = 2.5
# Instances are distributed over these zones.
ZONES = ('r-a', 'r-b')


@dataclasses.dataclass(frozen=True)
class Evacuation:
    """A zone, and from when until when it was evacuated.

    Times are in seconds since the epoch: after its acknowledgement, and
    before the zone was reopened.
    """

    zone: str
    evacuated_at: float
    reopened_at: float


class Site(platform_deployment.PlatformDeployment):
    """Entries and sidecars with proxied links to the store or worker.

    Attributes
    ----------
    proxies : dict of str to str
        Control addresses of the proxies, by process name.
    zones : dict of str to str
        The instances' zones, by name.
    evacuations : list of Evacuation
        The evacuations that have ended.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        super().__init__(directory)
        self.proxies: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.evacuations: list[Evacuation] = []
        self._configuration_version = 1
        self._proxied_addresses: dict[str, str] = {}
        self._control_addresses: dict[str, str] = {}

    async def start_all(self, entries: int, instances: int) -> None:
        """Start everything."""
        for number in range(1, entries + 1):
            await self.add_entry(f'entry-{number}')
        for number in range(1, instances + 1):
            zone = ZONES[number % len(ZONES)]
            await self.add_instance(f'side-{number}', zone)

    async def add_entry(self, name: str) -> None:
        """Start an entry with a proxied link to the store."""
        await self._add_proxy(name, self.store)
        await self.start_entry(name, self._proxied_addresses[name])

    async def add_instance(self, name: str, zone: str) -> None:
        """Start a worker's agent and a sidecar with a proxied link to it."""
        runner = await self.running.start_stand_in('runner', f'runner-{name}')
        self.runners[name] = runner
        await self._add_proxy(name, runner)
        self.zones[name] = zone
        process = await self.start_sidecar(name, zone=zone)
        self._control_addresses[name] = process.find('listening')[-1][
            'control'
        ]

    async def change_configuration(self) -> None:
        """Write the next version of the configuration with another route."""
        self._configuration_version += 1
        route = platform_deployment.CONFIGURATION['routes'][0]
        idle_route = {
            **route,
            'name': 'idle',
            'prefix': f'/idle-{self._configuration_version}/',
        }
        await self.write_as_operator(
            'op/config',
            {
                **platform_deployment.CONFIGURATION,
                'version': self._configuration_version,
                'routes': [route, idle_route],
            },
        )

    async def restart(self, name: str) -> None:
        """Restart an ended process with its previous addresses."""
        if name in self.entries:
            await self.start_entry(name, self._proxied_addresses[name])
        else:
            control = self._control_addresses[name]
            await self.start_sidecar(name, control, self.zones[name])

    def find_process(self, name: str) -> deployment.Process:
        """Return the process with a name."""
        return self.running.processes[name]

    async def _add_proxy(self, name: str, target: str) -> None:
        address, control = await self.running.start_proxy(
            f'proxy-{name}', target
        )
        self._proxied_addresses[name] = address
        self.proxies[name] = control

    def _make_sections(self, name: str, **jobs: str) -> dict:
        sections: dict[str, t.Any] = super()._make_sections(name, **jobs)
        sections['jobs']['lease'] = LEASE_SECONDS
        if 'worker' in jobs:
            sections['jobs']['worker'] = self._proxied_addresses[name]
        return sections

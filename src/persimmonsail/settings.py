"""Settings of a process, read from an INI file and validated."""

import pathlib
import typing as t

import pydantic

from persimmonsail import addresses
from persimmonsail import findings
from persimmonsail import store as store_module

_WILDCARDS = ('0.0.0.0', '::')


def _check_port(address: str) -> str:
    # Unlike elsewhere, port 0 is valid: the system chooses a free one.
    if addresses.split(address)[1] > addresses.MAX_PORT:
        raise ValueError(f'port must be at most {addresses.MAX_PORT}')
    return address


Address = t.Annotated[
    str,
    pydantic.Field(pattern=addresses.PATTERN),
    pydantic.AfterValidator(_check_port),
]
Name = t.Annotated[str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9.-]*$')]
LongSeconds = t.Annotated[float, pydantic.Field(gt=0, le=30 * 86400)]
Seconds = t.Annotated[float, pydantic.Field(gt=0, le=3600)]


def _split(value: object) -> object:
    if isinstance(value, str):
        return [part.strip() for part in value.split(',') if part.strip()]
    return value


Addresses = t.Annotated[list[Address], pydantic.BeforeValidator(_split)]


def _to_option(name: str) -> str:
    return name.replace('_', '-')


class Section(pydantic.BaseModel):
    """Base class of all sections; unknown options are findings."""

    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, alias_generator=_to_option
    )


class Process(Section):
    """Identity of this process and the addresses it listens on."""

    name: Name
    region: Name
    zone: Name
    rack: Name = 'none'
    control: Address = '127.0.0.1:0'
    control_advertised: Address | None = None
    http: Address = '127.0.0.1:0'


class Store(Section):
    """Connection to the platform's key-value service."""

    kind: Name = 'http'
    address: Address
    timeout: Seconds = 1.0


class Entry(Section):
    """Options of the entry role."""

    partitions: t.Annotated[int, pydantic.Field(ge=1, le=256)] = 8
    # Must exceed the partition lease plus the takeover, or all tasks of a
    # holder that is killed are evicted.
    partition_lease: Seconds = 4.0
    task_lease: Seconds = 12.0
    outage_limit: Seconds = 3600.0
    retention: LongSeconds = 86400.0
    commit_interval: Seconds = 0.1
    freshness: Seconds = 3.0
    catalogue_poll: Seconds = 1.0
    warmup: Seconds = 5.0
    notice: Seconds = 1.0
    drain: Seconds = 10.0


class Sidecar(Section):
    """Options of the sidecar role."""

    entries: Addresses
    worker: Address
    service: Name
    backend: Address
    slots: t.Annotated[int, pydantic.Field(ge=1, le=4096)] = 8
    connections: t.Annotated[int, pydantic.Field(ge=1, le=65536)] = 64
    queue: t.Annotated[int, pydantic.Field(ge=0, le=65536)] = 16
    report_interval: Seconds = 0.5
    usage_interval: Seconds = 1.0
    attempt_window: Seconds = 15.0
    health_interval: Seconds = 0.5
    notice: Seconds = 1.0
    drain: Seconds = 10.0


class Links(Section):
    """Timeouts of the links between processes."""

    heartbeat: Seconds = 0.5
    probe: Seconds = 0.5
    silence: Seconds = 2.0
    connect: Seconds = 1.0


class Jobs(Section):
    """Job scheduling on the users' platform, for both roles.

    With this section the roles of ``platform/`` are run.
    """

    readiness: Address | None = None
    # HTTP interface for jobs; not served if omitted.
    api: Address | None = None
    # Serves counters and latency histograms as text.
    metrics: Address | None = None
    # CPU limit: number of processors, and the usable share of each.
    processors: t.Annotated[int, pydantic.Field(gt=0)] | None = None
    processor_share: t.Annotated[float, pydantic.Field(gt=0, le=1)] = 1.0
    # Placement advisor: decides which instances may run the steps of
    # queues that require its approval.
    advisor: Address | None = None
    worker: Address | None = None
    heartbeats: Address | None = None
    # How long tasks keep running after the leader's last message. The
    # worker's agent grants leases of at most 6 s.
    lease: Seconds = 5.8
    # Which jobs are accepted: all, or those that by the leader's forecast
    # end while they are of use to their callers.
    admission: t.Literal['all', 'forecast'] = 'all'
    # How long callers may query an ended job, plus a margin.
    retention: LongSeconds = 150.0

    @property
    def cores(self) -> float | None:
        """Total number of cores the process may use, if configured."""
        if self.processors is None:
            return None
        return self.processors * self.processor_share


class Settings(Section):
    """All sections of one file."""

    process: Process
    store: Store | None = None
    entry: Entry = Entry()
    sidecar: Sidecar | None = None
    links: Links = Links()
    jobs: Jobs | None = None
    # Path of the settings file.
    source: str = ''


_MODELS: dict[str, type[Section]] = {
    'process': Process,
    'store': Store,
    'entry': Entry,
    'sidecar': Sidecar,
    'links': Links,
    'jobs': Jobs,
}
_REQUIRED_SECTIONS = {
    'entry': ('process', 'store'),
    'sidecar': ('process', 'sidecar'),
}
# With jobs a sidecar requires the store and the worker's agent, but no
# backend server.
_REQUIRED_SECTIONS_WITH_JOBS = {
    'entry': ('process', 'store'),
    'sidecar': ('process', 'store'),
}
_REQUIRED_OPTIONS_WITH_JOBS = {
    'entry': ('readiness',),
    'sidecar': ('worker', 'heartbeats'),
}


def load(path: pathlib.Path, role: str) -> Settings:
    """Read a settings file for one role.

    Parameters
    ----------
    path : pathlib.Path
        The INI file.
    role : str
        ``entry`` or ``sidecar``: determines the required sections.

    Returns
    -------
    Settings
        The validated settings.

    Raises
    ------
    persimmonsail.exceptions.InvalidInput
        With every finding of the file.
    OSError
        If the file can't be read.
    """
    return parse(str(path), findings.read_text(path), role)


def parse(file: str, text: str, role: str) -> Settings:
    """Validate settings text; see ``load``."""
    collector = findings.Collector(f'settings in {file}')
    line_index = findings.LineIndex(file, text)
    parser = findings.read_ini(file, text, collector)
    sections: dict[str, Section] = {}
    for name in parser.sections():
        model = _MODELS.get(name)
        if model is None:
            allowed = ', '.join(_MODELS)
            collector.add(
                line_index.find(name), f'unknown section; allowed: {allowed}'
            )
            continue
        try:
            sections[name] = model.model_validate(dict(parser[name]))
        except pydantic.ValidationError as error:
            collector.add_validation_errors(line_index, name, error, model)
    with_jobs = 'jobs' in parser.sections()
    for name in (
        _REQUIRED_SECTIONS_WITH_JOBS if with_jobs else _REQUIRED_SECTIONS
    )[role]:
        if name not in parser.sections():
            collector.add(
                findings.Location(file, section=name),
                f'section is missing; the {role} role needs it',
            )
    _check_store_kind(sections.get('store'), line_index, collector)
    _check_advertised(sections.get('process'), line_index, collector)
    _check_jobs(sections.get('jobs'), role, line_index, collector)
    collector.raise_if_any()
    return Settings.model_validate({**sections, 'source': file})


def _check_jobs(section, role, line_index, collector) -> None:
    if section is None:
        return
    for name in _REQUIRED_OPTIONS_WITH_JOBS[role]:
        if getattr(section, name) is None:
            collector.add(
                line_index.find('jobs', name),
                f'option is missing; the {role} role needs it',
            )


def _check_store_kind(section, line_index, collector) -> None:
    # Adapters are loaded only in processes that have this section.
    if section is None:
        return
    kinds = store_module.load_kinds()
    if section.kind not in kinds:
        allowed = ', '.join(sorted(kinds))
        collector.add(
            line_index.find('store', 'kind'),
            f'unknown kind {section.kind!r}; allowed: {allowed}',
        )


def _check_advertised(section, line_index, collector) -> None:
    # A peer that receives a wildcard address connects to its own host.
    if section is None or section.control_advertised:
        return
    host = section.control.rpartition(':')[0].strip('[]')
    if host in _WILDCARDS:
        collector.add(
            line_index.find('process', 'control'),
            f'{host} is unreachable from other hosts; '
            'set control-advertised too',
        )

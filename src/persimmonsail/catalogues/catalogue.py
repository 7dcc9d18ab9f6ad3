"""The operators' catalogue: teams and workloads with their limits.

A catalogue is INI text. ``[team NAME]`` gives an owner's objective and
quota; ``[workload NAME]`` gives a workload's owner, class and limits.
"""

import dataclasses
import difflib
import enum
import typing as t

import pydantic

from persimmonsail import findings
from persimmonsail import settings

MAX_BYTES = 1_000_000


class WorkloadClass(enum.StrEnum):
    """How a workload is scheduled."""

    LATENCY_CRITICAL = 'latency-critical'
    BATCH = 'batch'
    WATCHER = 'watcher'


class Objective(enum.StrEnum):
    """What the scheduler optimises for a team."""

    TAIL_LATENCY = 'tail-latency'
    THROUGHPUT = 'throughput'


class Team(settings.Section):
    """An owner of workloads, with its quota over all instances."""

    objective: Objective
    cores: t.Annotated[float, pydantic.Field(gt=0)]
    memory_gb: t.Annotated[float, pydantic.Field(gt=0)]
    accelerators: t.Annotated[int, pydantic.Field(ge=0)] = 0
    max_pending: t.Annotated[int, pydantic.Field(ge=1)] = 2000


class Workload(settings.Section):
    """One kind of work: owner, class and limits."""

    owner: settings.Name
    workload_class: t.Annotated[WorkloadClass, pydantic.Field(alias='class')]
    service: settings.Name = 'none'
    idempotent: bool = False
    urgent: bool = False
    timeout: settings.Seconds = 2.0
    cores: t.Annotated[float, pydantic.Field(gt=0)]
    memory_gb: t.Annotated[float, pydantic.Field(gt=0)]
    accelerators: t.Annotated[int, pydantic.Field(ge=0)] = 0
    max_concurrent: t.Annotated[int, pydantic.Field(ge=1)] = 1000
    max_attempts: t.Annotated[int, pydantic.Field(ge=1, le=100)] = 3


@dataclasses.dataclass(frozen=True)
class Catalogue:
    """A validated catalogue and the text it was read from."""

    text: str
    teams: dict[str, Team]
    workloads: dict[str, Workload]


EMPTY = Catalogue('', {}, {})
_SECTION_MODELS: dict[str, type[settings.Section]] = {
    'team': Team,
    'workload': Workload,
}


def parse(file: str, text: str) -> Catalogue:
    """Validate catalogue text.

    Parameters
    ----------
    file : str
        The file name given in findings.
    text : str
        INI text, at most a megabyte in UTF-8.

    Returns
    -------
    Catalogue
        The teams and workloads by name.

    Raises
    ------
    persimmonsail.exceptions.InvalidInput
        With every finding in the text.
    """
    collector = findings.Collector(f'catalogue in {file}')
    locations = findings.LineIndex(file, text)
    if len(text.encode()) > MAX_BYTES:
        collector.add(locations.find(), f'more than {MAX_BYTES} bytes')
    parser = findings.read_ini(file, text, collector)
    found: dict[str, dict[str, t.Any]] = {kind: {} for kind in _SECTION_MODELS}
    for section in parser.sections():
        kind, _, name = section.partition(' ')
        model = _SECTION_MODELS.get(kind)
        if model is None or not name.strip():
            collector.add(
                locations.find(section),
                'section must be [team NAME] or [workload NAME]',
            )
            continue
        try:
            found[kind][name.strip()] = model.model_validate(
                dict(parser[section])
            )
        except pydantic.ValidationError as error:
            collector.add_validation_errors(locations, section, error, model)
    _check_names(parser, locations, collector)
    _check_owners(parser, locations, collector)
    collector.raise_if_any()
    return Catalogue(text, found['team'], found['workload'])


def _check_names(parser, locations, collector) -> None:
    seen: dict[tuple[str, ...], str] = {}
    for section in parser.sections():
        words = tuple(section.split())
        if words in seen:
            collector.add(
                locations.find(section),
                f'already defined as [{seen[words]}]; allowed: once',
            )
        seen.setdefault(words, section)


def _check_owners(parser, locations, collector) -> None:
    teams = {
        section.partition(' ')[2].strip()
        for section in parser.sections()
        if section.startswith('team ')
    }
    for section in parser.sections():
        owner = parser[section].get('owner', '')
        if section.startswith('workload ') and owner and owner not in teams:
            allowed = ', '.join(sorted(teams)) or 'none is defined'
            collector.add(
                locations.find(section, 'owner'),
                f'no [team {owner}] in this catalogue; allowed: {allowed}',
            )


def diff(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return a unified diff of two catalogue texts."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), old_name, new_name, lineterm=''
    )
    return '\n'.join(lines)

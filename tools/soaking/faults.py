"""Faults that a soak injects into a site, registered by decorators.

Each fault starts, lasts for a random time and is undone. Several are active
simultaneously, each on a different process or on the store: an entry may be
killed while another stops, the store is silent and a worker is isolated.
"""

import random
import signal
import time
import typing as t

import anyio

from persimmonsail.jobs import record
from tools.soaking import site as site_module

_SHORT_SECONDS = (0.2, 1.5)
_LONG_SECONDS = (0.5, 6.0)
# Delay of writes in the store and of starts in a worker's agent.
_DELAY_SECONDS = (0.5, 3.0)
# Longer than the time after which nothing may start in the zone.
_EVACUATION_SECONDS = (5.5, 9.0)
_RESTART_SECONDS = 0.3
# Free capacity for none, two, four and more simultaneous tasks.
_CAPACITIES_MILLICORES = (400, 1000, 2000, 6000)
# Time from the start of a task to the crash that it causes.
_SLOW_CRASH_SECONDS = (0.6, 8.0)
# Share of the losses of history that also revoke the leased keys.
_REVOKED_SHARE = 0.5

Fault = t.Callable[[site_module.Site, random.Random, str], t.Awaitable[None]]
_TargetKind = t.Literal['process', 'instance', 'store', 'zone']

FAULTS: dict[str, tuple[_TargetKind, Fault]] = {}
# Drawn separately from the others, so that a seed that violated a guarantee
# with those still reproduces the same faults.
SILENCES: dict[str, tuple[_TargetKind, Fault]] = {}
# Drawn separately as well, for the same reason.
RESTARTS: dict[str, tuple[_TargetKind, Fault]] = {}
# Drawn separately as well; not faults, but what operators do during them.
EVACUATIONS: dict[str, tuple[_TargetKind, Fault]] = {}
# Drawn separately as well.
FEATURES: dict[str, tuple[_TargetKind, Fault]] = {}
# Drawn separately as well.
AGENTS: dict[str, tuple[_TargetKind, Fault]] = {}


def register(
    kind: _TargetKind, series: dict[str, tuple[_TargetKind, Fault]] = FAULTS
) -> t.Callable[[Fault], Fault]:
    """Register a fault for a kind of target under the function's name."""

    def add(fault: Fault) -> Fault:
        series[fault.__name__] = (kind, fault)
        return fault

    return add


def draw(
    site: site_module.Site,
    rng: random.Random,
    series: t.Mapping[str, tuple[_TargetKind, Fault]] = FAULTS,
) -> tuple[str, str, Fault]:
    """Draw a fault of a series and its target."""
    name = rng.choice(sorted(series))
    kind, fault = series[name]
    targets = {
        'process': [*site.entries, *site.runners],
        'instance': [*site.runners],
        'store': ['store'],
        'zone': site_module.ZONES,
    }[kind]
    return name, rng.choice(sorted(targets)), fault


async def _sleep(rng: random.Random, bounds: tuple[float, float]) -> None:
    await anyio.sleep(rng.uniform(*bounds))


async def _set_proxy(
    site: site_module.Site, name: str, mode: str, delay: float = 0.0
) -> None:
    await site.set_faults(site.proxies[name], mode=mode, delay=delay)


async def _impair_link(
    site: site_module.Site,
    rng: random.Random,
    name: str,
    mode: str,
    delay: float = 0.0,
) -> None:
    """Set the mode of a process's link for a random time."""
    await _set_proxy(site, name, mode, delay)
    await _sleep(rng, _LONG_SECONDS)
    await _set_proxy(site, name, 'pass')


async def _impair_worker(
    site: site_module.Site,
    rng: random.Random,
    name: str,
    bounds: tuple[float, float],
    **impairments: t.Any,
) -> None:
    """Set the faults of a worker's agent for a random time."""
    await site.set_faults(site.runners[name], **impairments)
    await _sleep(rng, bounds)
    await site.set_faults(site.runners[name])


@register('process')
async def kill(site: site_module.Site, rng: random.Random, name: str) -> None:
    """Kill a process and restart it."""
    await site.find_process(name).stop(signal.SIGKILL)
    await _sleep(rng, _SHORT_SECONDS)
    await site.restart(name)


@register('process')
async def stop(site: site_module.Site, rng: random.Random, name: str) -> None:
    """Stop a process gracefully, or kill it while it stops."""
    process = site.find_process(name)
    process.send_signal(signal.SIGTERM)
    if rng.random() < 0.3:
        await _sleep(rng, _SHORT_SECONDS)
        await process.stop(signal.SIGKILL)
    else:
        await process.handle.wait()
    await anyio.sleep(_RESTART_SECONDS)
    await site.restart(name)


@register('process')
async def pause(site: site_module.Site, rng: random.Random, name: str) -> None:
    """Suspend a process while its clock advances."""
    process = site.find_process(name)
    process.send_signal(signal.SIGSTOP)
    await _sleep(rng, _LONG_SECONDS)
    process.send_signal(signal.SIGCONT)


@register('process')
async def reload(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Notify a process of changed settings with SIGHUP."""
    site.find_process(name).send_signal(signal.SIGHUP)


@register('process')
async def cut(site: site_module.Site, rng: random.Random, name: str) -> None:
    """Reset a process's link to the store or agent and refuse new ones."""
    await _impair_link(site, rng, name, 'cut')


@register('process')
async def cut_one_way(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Deliver a process's calls and drop all answers."""
    await _impair_link(site, rng, name, 'one-way')


@register('process')
async def freeze(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Hold back all bytes of a link and deliver them later."""
    await _impair_link(site, rng, name, 'freeze')


@register('process')
async def silence(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Drop all bytes of the open connections permanently."""
    await _set_proxy(site, name, 'silent')
    await _set_proxy(site, name, 'pass')


@register('process')
async def delay(site: site_module.Site, rng: random.Random, name: str) -> None:
    """Delay each chunk of a link's bytes."""
    await _impair_link(site, rng, name, 'pass', rng.uniform(0.02, 0.3))


@register('store')
async def refuse_calls(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Have the store refuse all calls or leave them unanswered."""
    await site.set_faults(site.store, down=rng.choice(('busy', 'silent')))
    await _sleep(rng, _LONG_SECONDS)
    await site.set_faults(site.store)


@register('store')
async def lose_answers(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Lose answers to writes that take effect, some with a delay."""
    await site.set_faults(
        site.store,
        lose_writes=rng.randrange(1, 6),
        delay_writes=rng.choice((0.0, rng.uniform(*_DELAY_SECONDS))),
    )


@register('store')
async def lose_history(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Drop the history of changes; sometimes revoke all leased keys."""
    await site.set_faults(
        site.store, forget=True, revoke=rng.random() < _REVOKED_SHARE
    )


@register('store')
async def change_configuration(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Write new versions of the configuration in quick succession."""
    for _ in range(rng.randrange(1, 4)):
        await site.change_configuration()


@register('instance')
async def crash_worker(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Crash a worker's agent, which starts again under its id."""
    await site.set_faults(site.runners[name], restart=True)


@register('instance')
async def crash_many(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Crash all workers' agents in quick succession."""
    for runner in site.runners.values():
        await site.set_faults(runner, restart=True)


@register('instance')
async def shrink_room(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Vary the capacity of an instance, then restore it."""
    for _ in range(rng.randrange(1, 4)):
        millicores = rng.choice(_CAPACITIES_MILLICORES)
        await site.set_faults(site.runners[name], millicores=millicores)
        await _sleep(rng, _SHORT_SECONDS)
    await site.set_faults(site.runners[name])


@register('instance')
async def start_late(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Leave starts unanswered and execute them later."""
    await site.set_faults(
        site.runners[name],
        late_starts=rng.randrange(1, 4),
        late_seconds=rng.uniform(*_DELAY_SECONDS),
    )


@register('instance')
async def fail_tasks(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Make all tasks that a worker starts fail for a short time."""
    await _impair_worker(site, rng, name, _SHORT_SECONDS, fail=True)


@register('store', SILENCES)
async def hang_watch(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Leave only the leader's watch without an answer."""
    await site.set_faults(site.store, hang_watch=record.INBOX)
    await _sleep(rng, _LONG_SECONDS)
    await site.set_faults(site.store)


@register('instance', SILENCES)
async def silence_worker(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Silence a worker's agent while commands are in flight."""
    await _impair_worker(site, rng, name, _LONG_SECONDS, silent=True)


@register('instance', RESTARTS)
async def restart_repeatedly(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Restart a worker's agent several times, soon one after the other."""
    for _ in range(rng.randrange(2, 4)):
        await site.set_faults(site.runners[name], restart=True)
        await _sleep(rng, _SHORT_SECONDS)


@register('instance', RESTARTS)
async def restart_with_late_calls(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Restart a worker's agent that executes earlier calls afterwards."""
    late_calls = {
        'late_starts': rng.randrange(4),
        'late_holds': rng.randrange(3),
        'late_seconds': rng.uniform(*_DELAY_SECONDS),
    }
    await site.set_faults(site.runners[name], **late_calls)
    await _sleep(rng, _SHORT_SECONDS)
    await site.set_faults(site.runners[name], restart=True)


@register('instance', RESTARTS)
async def restart_as_older(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Replace a worker's agent by an older one for a while."""
    older = {'new_ids': True, 'sends_born': False}
    await site.set_faults(site.runners[name], restart=True, **older)
    await _sleep(rng, _LONG_SECONDS)
    await site.set_faults(site.runners[name], restart=True)


async def _silence_and_kill(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Silence a worker's agent; kill its sidecar, which starts again."""
    await site.set_faults(site.runners[name], silent=True)
    await _sleep(rng, _SHORT_SECONDS)
    await kill(site, rng, name)


@register('instance', AGENTS)
async def refuse_starts(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Have a worker's agent refuse all starts while its status is good."""
    await _impair_worker(site, rng, name, _LONG_SECONDS, refuse=True)


@register('instance', AGENTS)
async def restart_beside_silent_worker(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Restart a sidecar while its worker's agent answers nothing."""
    await _silence_and_kill(site, rng, name)
    await _sleep(rng, _LONG_SECONDS)
    await site.set_faults(site.runners[name])


@register('instance', AGENTS)
async def lose_worker(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Restart a sidecar beside its silent agent, which is lost then.

    Nothing of it is heard until another fault of the instance, or the end
    of all faults, starts it anew.
    """
    await _silence_and_kill(site, rng, name)
    await _sleep(rng, _SHORT_SECONDS)
    await site.set_faults(site.runners[name], silent=True, restart=True)


@register('instance', FEATURES)
async def crash_slowly(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Have tasks crash a worker's agent seconds after their start."""
    seconds = rng.uniform(*_SLOW_CRASH_SECONDS)
    await _impair_worker(site, rng, name, _LONG_SECONDS, crash_seconds=seconds)


@register('instance', FEATURES)
async def send_foreign_heartbeats(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Send heartbeats of another service under an agent's id."""
    await _impair_worker(
        site, rng, name, _LONG_SECONDS, foreign_heartbeats=True
    )


@register('zone', EVACUATIONS)
async def evacuate(
    site: site_module.Site, rng: random.Random, name: str
) -> None:
    """Evacuate a zone, and reopen it later."""
    await site.evacuate(name)
    evacuated_at = time.time()
    await _sleep(rng, _EVACUATION_SECONDS)
    reopened_at = time.time()
    await site.reopen(name)
    site.evacuations.append(
        site_module.Evacuation(name, evacuated_at, reopened_at)
    )


# Registered under another name, which keeps its position in the draw order.
SILENCES['lose_answers_of_one'] = ('process', cut_one_way)


async def clear_faults(site: site_module.Site) -> None:
    """Undo all remaining faults."""
    for name in site.proxies:
        await _set_proxy(site, name, 'pass')
    await site.set_faults(site.store)
    for runner in site.runners.values():
        await site.set_faults(runner)

"""Stateful fuzzing of the whole system against simple invariants.

The rules produce load, operators' edits and all required kinds of
fault, in any order and overlapping. ``make fuzz`` runs many examples
with new seeds.
"""

import os

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st

from persimmonsail import httpstore
from standins.virtual import fleet as fleet_module
from standins.virtual import world as world_module
from tests import base
from tests import invariants

EXAMPLES = int(os.environ.get('PERSIMMONSAIL_FUZZ_EXAMPLES', '5'))
STEPS = int(os.environ.get('PERSIMMONSAIL_FUZZ_STEPS', '15'))
SEED = os.environ.get('PERSIMMONSAIL_FUZZ_SEED')
PHASES = (
    tuple(hypothesis.Phase)
    if os.environ.get('PERSIMMONSAIL_FUZZ_SHRINK')
    else (hypothesis.Phase.explicit, hypothesis.Phase.generate)
)
# Covers the drain time, within which a stopping process exits.
STOP_SECONDS = 20.0
SETTLE_SECONDS = 90.0
CORES = 64.0
SIZES = {
    'routing-build': 8.0,
    'board-watcher': 0.25,
}
ENTRIES = st.sampled_from(fleet_module.Fleet.entries)
INSTANCES = st.sampled_from(fleet_module.Fleet.instances)
NAMES = st.sampled_from(
    [
        *fleet_module.Fleet.entries,
        *fleet_module.Fleet.instances,
        *(f'worker-{name}' for name in fleet_module.Fleet.instances),
    ]
)
ROLES = st.sampled_from(
    [*fleet_module.Fleet.entries, *fleet_module.Fleet.instances]
)
PEER_NAMES = (
    *fleet_module.Fleet.entries,
    *fleet_module.Fleet.instances,
    'store',
)
PEERS = st.sampled_from(PEER_NAMES)
# Shorter and longer than the leases of the fleet, which are 3 s.
PAUSES = st.sampled_from([1.0, 4.0, 8.0])


class SystemMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Drives a world; each rule is one thing that may happen."""

    def __init__(self) -> None:
        super().__init__()
        assert httpstore.HttpStore
        self.world = world_module.World()
        self.fleet = fleet_module.Fleet(self.world)
        self.fleet.start_all()
        self.accepted: dict[str, str] = {}
        self.not_run: set[str] = set()
        self.pending: list = []
        self.revisions: list[int] = []
        self.number = 0
        for entry in self.fleet.entries:
            self.submit_watcher(entry)
            self.submit_build(entry, 8.0)
        self.world.run_for(1.0)

    @hypothesis.stateful.rule(entry=ENTRIES, count=st.integers(1, 5))
    def send_quick(self, entry, count):
        for _ in range(count):
            self.number += 1
            self._spawn(self._send_quick, entry, self.number)

    @hypothesis.stateful.rule(
        entry=ENTRIES, seconds=st.sampled_from([0.2, 2.0, 8.0])
    )
    def submit_build(self, entry, seconds):
        self._submit(entry, 'routing-build', invariants.BUILD, seconds)

    @hypothesis.stateful.rule(seconds=st.sampled_from([0.5, 4.0]))
    def submit_build_at_both_entries(self, seconds):
        self.number += 1
        for entry in self.fleet.entries:
            self._spawn(
                self._submit_task,
                entry,
                'routing-build',
                invariants.BUILD,
                {'seconds': seconds},
                f'key-{self.number}',
            )

    @hypothesis.stateful.rule(entry=ENTRIES)
    def submit_watcher(self, entry):
        self._submit(entry, 'board-watcher', invariants.WATCHER, None)

    @hypothesis.stateful.rule(entry=ENTRIES, data=st.data())
    def cancel(self, entry, data):
        if self.accepted:
            task = data.draw(st.sampled_from(sorted(self.accepted)))
            self._spawn(self.fleet.cancel_task, entry, task)

    @hypothesis.stateful.rule(number=st.integers(0, 9))
    def edit_catalogue(self, number):
        text = fleet_module.CATALOGUE.read_text(encoding='utf-8')
        self._spawn(self._edit, f'{text}\n; edit {number}\n')

    @hypothesis.stateful.rule(
        seconds=st.sampled_from([0.05, 0.3, 1.0, 3.0, 6.0])
    )
    def wait(self, seconds):
        self.world.run_for(seconds)

    @hypothesis.stateful.rule(name=NAMES)
    def kill(self, name):
        self._note_death(name)
        self.world.kill(name)

    @hypothesis.stateful.rule(name=NAMES)
    def restart(self, name):
        if self.world.processes[name].dead:
            self._start(name)

    @hypothesis.stateful.rule(name=ROLES)
    def terminate(self, name):
        process = self.world.processes[name]
        if not process.dead:
            self.world.terminate(name)

    @hypothesis.stateful.rule(name=NAMES, frozen=st.booleans())
    def freeze(self, name, frozen):
        self._freeze(name, frozen)

    @hypothesis.stateful.rule(name=NAMES, seconds=PAUSES)
    def pause(self, name, seconds):
        self._freeze(name, True)
        self.world.run_for(seconds)
        self._freeze(name, False)

    @hypothesis.stateful.rule(name=ROLES, seconds=PAUSES)
    def isolate(self, name, seconds):
        cuts = {frozenset((name, other)) for other in PEER_NAMES} - {
            frozenset((name,))
        }
        self.world.cut |= cuts
        self.world.run_for(seconds)
        self.world.cut -= cuts

    @hypothesis.stateful.rule(seconds=PAUSES)
    def stop_store(self, seconds):
        self.fleet.store.memory.faults.down = True
        self.world.run_for(seconds)
        self.fleet.store.memory.faults.down = False

    @hypothesis.stateful.rule(one=PEERS, other=PEERS)
    def cut(self, one, other):
        if one != other:
            self.world.cut.add(frozenset((one, other)))

    @hypothesis.stateful.rule()
    def heal_cuts(self):
        self.world.cut.clear()

    @hypothesis.stateful.rule(one=ROLES, other=ROLES)
    def silence(self, one, other):
        for channel in self.world.channels:
            if channel.ends == (one, f'{other}:7000'):
                channel.silent = True

    @hypothesis.stateful.rule(
        down=st.booleans(),
        delay=st.sampled_from([0.0, 0.2, 1.0]),
        lose_answers=st.integers(0, 3),
        silent_watches=st.booleans(),
    )
    def disturb_store(self, **faults):
        for name, value in faults.items():
            setattr(self.fleet.store.memory.faults, name, value)

    @hypothesis.stateful.rule()
    def heal_store(self):
        self._heal_store()

    @hypothesis.stateful.invariant()
    def promises_hold(self):
        self._collect()
        runs = invariants.find_runs(self.fleet.records)
        builds = {
            run['task'] for run in runs if run['workload'] == 'routing-build'
        }
        invariants.check_single_place(runs)
        invariants.check_resumed_once(runs, builds)
        invariants.check_capacity(runs, SIZES, CORES)
        invariants.check_not_run(self.not_run, self._find_ran(runs))
        self._check_revisions()
        self._check_processes()

    def teardown(self):
        try:
            self._settle()
        finally:
            self.world.__exit__()

    def _settle(self):
        self._heal_store()
        self.world.cut.clear()
        for name in self.world.processes:
            self._freeze(name, False)
        self.world.run_for(STOP_SECONDS)
        for name, process in list(self.world.processes.items()):
            if process.dead or process.main.done():
                self._start(name)
        self.world.run_for(SETTLE_SECONDS)
        self.promises_hold()
        self._check_nothing_lost()

    def _check_nothing_lost(self):
        runs = invariants.find_runs(self.fleet.records)
        for task in self.accepted:
            answer = self.world.call(self.fleet.get_task, 'entry-1', task)
            if answer is None or answer.status_code != 200:
                raise invariants.Broken(f'{task} is lost: {answer}')
            phase = fleet_module.read_json(answer)['phase']
            if phase in ('pending', 'claimed'):
                active = [
                    run
                    for run in runs
                    if run['task'] == task and run['how'] == 'active'
                ]
                if len(active) != 1:
                    raise invariants.Broken(f'{task} is {phase}: {active}')

    def _submit(self, entry, workload, kind, seconds):
        self.number += 1
        body = {} if seconds is None else {'seconds': seconds}
        key = f'key-{self.number}'
        self._spawn(self._submit_task, entry, workload, kind, body, key)

    async def _submit_task(self, entry, workload, kind, body, key):
        answer = await self.fleet.post(entry, workload, body, key)
        if answer is not None and answer.status_code == 202:
            self.accepted[fleet_module.read_json(answer)['task']] = kind

    async def _send_quick(self, entry, number):
        body = {'number': number}
        answer = await self.fleet.post(entry, 'wire-cut-check', body)
        if answer is None:
            return
        found = fleet_module.read_json(answer)
        if answer.status_code == 200 and found['echo'] != body:
            raise invariants.Broken(f'I4: {body} got {found}')
        if answer.status_code != 200 and found['work'] == 'not-run':
            self.not_run.add(str(number))

    async def _edit(self, text):
        revision = await self.fleet.apply(text)
        self.revisions.append(revision)

    def _spawn(self, coroutine, *arguments):
        self.pending.append(self.world.spawn(coroutine, *arguments))

    def _collect(self):
        for task in [task for task in self.pending if task.done()]:
            self.pending.remove(task)
            error = task.exception()
            if isinstance(error, invariants.Broken):
                raise error

    def _find_ran(self, runs):
        ran = {run['task'] for run in runs}
        for backend in self.fleet.backends.values():
            for entry in backend._record:
                ran.add(str(entry['body'].get('number')))
        return ran

    def _check_revisions(self):
        if len(set(self.revisions)) != len(self.revisions):
            raise invariants.Broken(f'I9: accepted twice: {self.revisions}')
        highest = {}
        for event in self.world.select('catalogue'):
            name, revision = event['process'], int(event['revision'])
            if revision < highest.get(name, 0):
                raise invariants.Broken(f'I9: {name} went back to {revision}')
            highest[name] = revision

    def _check_processes(self):
        for process in self.world.processes.values():
            for found in process.loop.errors:
                if 'exception' in found:
                    raise found['exception']
            if not process.dead and process.main.done():
                if error := process.main.exception():
                    raise error

    def _freeze(self, name, frozen):
        process = self.world.processes[name]
        if process.frozen != frozen and not process.dead:
            event = invariants.PAUSED if frozen else invariants.CONTINUED
            self._note_runs(name, event)
        self.world.freeze(name, frozen)

    def _note_death(self, name):
        if not self.world.processes[name].dead:
            self._note_runs(name, 'died')

    def _note_runs(self, name, event):
        instance = name.removeprefix('worker-')
        if instance == name or instance not in self.fleet.workers:
            return
        now = self.world.clock.now
        for run in self.fleet.workers[instance]._runs.values():
            lapsed = event == invariants.CONTINUED and run.deadline <= now
            if run.phase == 'active' and not lapsed:
                self.fleet.records[instance].append(
                    {
                        'event': event,
                        'task': run.task,
                        'attempt': run.attempt,
                        'at': now,
                    }
                )

    def _start(self, name):
        if name in self.fleet.entries:
            self.fleet.start_entry(name)
        elif name in self.fleet.instances:
            self.fleet.start_sidecar(name)
        else:
            self.fleet.start_worker(name.removeprefix('worker-'))

    def _heal_store(self):
        faults = self.fleet.store.memory.faults
        faults.down = False
        faults.delay = 0.0
        faults.lose_answers = 0
        faults.silent_watches = False


class FoundTest(base.TestCase):
    """Failures that the state machine found, as regression tests."""

    def test_stale_renewal_does_not_move_a_watcher_again(self):
        """Guards against running a watcher on two instances.

        Its instance is isolated, its lease expires, and it starts on
        another one. A renewal sent to the first instance before that
        fails only now; it must not abandon the tasks of its stale list.
        """
        machine = SystemMachine()
        self.addCleanup(machine.world.__exit__)
        machine.send_quick('entry-1', 4)
        machine.submit_build_at_both_entries(0.5)
        machine.stop_store(1.0)
        machine.isolate('three', 8.0)
        machine.promises_hold()


SystemTest = SystemMachine.TestCase
SystemTest.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    derandomize=SEED is None,
    database=None,
    print_blob=True,
    phases=PHASES,
    suppress_health_check=list(hypothesis.HealthCheck),
)
if SEED is not None:
    SystemTest.runTest = hypothesis.seed(int(SEED))(SystemTest.runTest)

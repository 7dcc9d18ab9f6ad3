"""Test case with tasks whose worker agents crash."""

from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import crashes
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import record
from persimmonsail.jobs import suspects
from tests import base
from tests.jobs import cases

NOW = 100.0
# Longer than the time within which simultaneous crashes are reported.
NEXT_GROUP_SECONDS = 5.0


class CrashingCase(base.TestCase):
    """Tasks on a small fleet whose agents crash."""

    def setUp(self):
        super().setUp()
        self.board = board_module.Board()
        self.fleet = [
            cases.make_instance(f'10.0.0.{i}:7000', boot=f'boot-{i}')
            for i in range(6)
        ]
        self.now = NOW
        self.poll()
        self.tracker = crashes.Tracker(self.board, lambda: self.fleet)
        self.serial = 0

    def poll(self):
        """Mark all agents as having answered now."""
        for instance in self.fleet:
            instance.answered_at = self.now

    def add_task(self, **fields):
        self.serial += 1
        step = cases.make_step(**fields)
        job = cases.make_job(step, id=f'{self.serial:016x}')
        self.board.add(job)
        (task, *_) = job.tasks.values()
        return task

    def crash(self, instance, *rows, ago=0.5):
        """Place tasks on an instance and report a crash of its agent.

        Each row is a task, the seconds its run lasted, and optionally whether
        it ran in isolation.
        """
        crash = fleet_pb2.Crash(boot=instance.boot, ago_seconds=ago)
        for task, seconds, *isolated in rows:
            run = self.board.place(
                task, instance.address, instance.boot, isolated=bool(isolated)
            )
            crash.runs.add(task=task.name, run=run, seconds=seconds)
        self.tracker.note(instance, crash, self.now)
        for task, *_ in rows:
            run = task.state.run
            self.board.note_end(task, run, board_module.End.LOST, '', 2)
        return crash

    def wait(self, seconds=NEXT_GROUP_SECONDS):
        self.now += seconds
        self.poll()

    def is_failed(self, task):
        suspects.fail_exhausted(self.board, self.now)
        return task.job.phase is record.JobPhase.FAILED

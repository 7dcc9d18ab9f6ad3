"""A burst of cancellations at a real holder with an in-memory store.

Unlike the other scenarios, it runs in real time; latencies are those of
the cancel calls.
"""

import time

import anyio

from persimmonsail.bookkeeping import commits
from persimmonsail.bookkeeping import ledger
from persimmonsail.bookkeeping import records
from persimmonsail.catalogues import catalogue
from persimmonsail.catalogues import revisions
from persimmonsail import control_pb2
from persimmonsail.decisions import fleet
from persimmonsail import exceptions
from persimmonsail import links
from persimmonsail.partitioning import consents
from persimmonsail.partitioning import holder as holder_module
from persimmonsail import settings
from standins import memory
from tools.bench import results

TASK_COUNT = 1000
_STORE_DELAY_SECONDS = 0.005
_TIMEOUT_SECONDS = 20.0
_POLL_INTERVAL_SECONDS = 0.02
_SETTINGS = """\
[process]
name = entry
region = piedmont
zone = piedmont-a
[store]
address = 127.0.0.1:1
[entry]
commit-interval = 0.02
"""
_CATALOGUE = """\
[team a]
objective = throughput
cores = 100
memory-gb = 100
[workload build]
owner = a
class = batch
cores = 8
memory-gb = 16
"""


class CancellationBurst:
    """A thousand pending tasks of one holder, cancelled concurrently."""

    def __init__(self) -> None:
        self.store = memory.MemoryStore()
        self.run = results.Run()
        view = revisions.View()
        view.catalogue = catalogue.parse('bench', _CATALOGUE)
        self._holder = holder_module.Holder(
            ledger.Ledger(self.store, 0),
            fleet.Fleet(60.0),
            links.Links(),
            view,
            settings.parse('bench', _SETTINGS, 'entry'),
            consents.StoreLease('lease', float('inf')),
            'process',
            tuple,
        )

    async def execute(self, coalesced: bool) -> results.Run:
        """Submit and cancel all tasks and return the measurements."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._holder.run)
            while not self._holder.ready:  # noqa: ASYNC110
                await anyio.sleep(_POLL_INTERVAL_SECONDS)
            async with anyio.create_task_group() as submissions:
                for number in range(TASK_COUNT):
                    submissions.start_soon(self._submit, f'{number:04d}')
            self.store.faults.delay = _STORE_DELAY_SECONDS
            if not coalesced:
                commits.MAX_BATCH_BYTES = 0
            before = self.store.calls.write
            began = time.monotonic()
            await self._cancel_all()
            self.run.extras['store writes'] = self.store.calls.write - before
            self.run.extras['seconds to the end'] = time.monotonic() - began
            group.cancel_scope.cancel()
        return self.run

    async def _submit(self, task: str) -> None:
        self.run.batch_submitted += 1
        await self._holder.submit(
            control_pb2.SubmitRequest(
                task=task, workload='build', payload=b'{}', timeout_seconds=60
            )
        )

    async def _cancel_all(self) -> None:
        with anyio.move_on_after(_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as group:
                for task in list(self._holder.table.tasks):
                    group.start_soon(self._cancel, task)
            while self._count_ended() < TASK_COUNT:  # noqa: ASYNC110
                await anyio.sleep(_POLL_INTERVAL_SECONDS)
        self.run.extras['cancelled'] = self._count_ended()

    async def _cancel(self, task: str) -> None:
        began = time.monotonic()
        try:
            await self._holder.cancel(task)
        except (exceptions.NotCommitted, exceptions.CommitUnknown):
            self.run.refused += 1
            return
        self.run.latencies.record(time.monotonic() - began)

    def _count_ended(self) -> int:
        return sum(
            task.phase is records.TaskPhase.CANCELLED
            for task in self._holder.table.tasks.values()
        )


def run_policy(coalesced: bool) -> results.Run:
    """Run one burst; restores the commit size limit afterwards."""
    batch = commits.MAX_BATCH_BYTES
    try:
        return anyio.run(CancellationBurst().execute, coalesced)
    finally:
        commits.MAX_BATCH_BYTES = batch

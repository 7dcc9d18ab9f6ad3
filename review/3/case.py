"""A worker refuses all starts; the jobs that wait must still be counted."""

import asyncio
import json
import os
import pathlib
import sys

from reviewkit import deployment

_INSTANCES = 11
_RACK = 3
_REFUSING_SECONDS = 6.5
_JOBS = 10
# ``visible_ms`` and 2 s.
_COUNTED_SECONDS = 5.0
_ASK_SECONDS = 0.25
_LOAD = '00000000000000ff'
_END_SECONDS = 30.0


def _make_job(
    count: int, cpu: int, ms: int, **fields: object
) -> dict[str, object]:
    step = {'count': count, 'cpu': cpu, 'memMb': 1000, 'estimateMs': ms}
    return {'spec': json.dumps({'ms': ms}), 'phases': [{**step, **fields}]}


class _Case:
    """One play.

    Parameters
    ----------
    record : deployment.Record
        Gets a line for each event.
    running : deployment.Deployment
        The deployment.
    """

    def __init__(
        self, record: deployment.Record, running: deployment.Deployment
    ) -> None:
        self._record = record
        self._running = running
        self._accepted: dict[str, float] = {}
        self.worst = ''

    async def play(self, trouble: bool) -> None:
        """Submit the jobs, and ask for the count of those that wait."""
        running = self._running
        # Each worker but one has work: the one without looks the emptiest.
        load = _make_job(_INSTANCES - 1, 30000, 40000, maxPerServer=1)
        await running.submit(_LOAD, load)
        await asyncio.sleep(2.0)
        used = {run.worker for run in running.runs}
        sick = next(one for one in running.workers if one.name not in used)
        if trouble:
            sick.refuses = ('run-start',)
            self._record.note(f'worker {sick.name} answers starts with 503')
        began = self._record.read_time()
        for number in range(_JOBS):
            id = f'5c0e7a21d94b36{number:02x}'
            await running.submit(id, _make_job(2, 1000, 1500))
            self._accepted[id] = self._record.read_time()
        while self._record.read_time() < began + _REFUSING_SECONDS:
            for machine in running.entries:
                await self._ask(machine)
            await asyncio.sleep(_ASK_SECONDS)
        sick.refuses = ()
        self._record.note(f'worker {sick.name} is sound again')
        for id in self._accepted:
            await running.wait_state(id, ('complete', 'failed'), _END_SECONDS)

    async def _ask(self, machine: deployment.Machine) -> None:
        # Before the call: what begins meanwhile may be counted or not.
        asked_at = self._record.read_time()
        reply = await self._running.call(machine, 'GET')
        begun = {run.task.partition('.')[0] for run in self._running.runs}
        waiting = [
            id
            for id, at in self._accepted.items()
            if id not in begun and asked_at - at > _COUNTED_SECONDS
        ]
        count = reply.body.get('pendingCount')
        if reply.status == 200 and 2 * count < len(waiting):
            self.worst = (
                f'{machine.name} gives pendingCount {count}; {len(waiting)}'
                f' jobs that were accepted over {_COUNTED_SECONDS} s before'
                ' have not begun'
            )
            self._record.note(f'MIXED {self.worst}')


async def _run(record: deployment.Record, trouble: bool) -> int:
    async with deployment.Deployment(record) as running:
        running.configure()
        for _ in range(2):
            await running.add_entry()
        for number in range(_INSTANCES):
            labels = ('a', f'r1-{number // _RACK}')
            await running.add_instance(labels=labels)
        await running.wait_ready()
        await asyncio.sleep(4.0)
        case = _Case(record, running)
        await case.play(trouble)
        result = case.worst or 'each count was right'
        record.note(result)
        print(result)
        return 1 if case.worst else 0


def main() -> int:
    """Run the case; return 1 if the rule was broken, 0 if it held."""
    path = pathlib.Path(__file__).parent / 'record.txt'
    record = deployment.Record(path)
    try:
        trouble = os.environ.get('TROUBLE', '1') != '0'
        return asyncio.run(_run(record, trouble))
    except deployment.Unusable as error:
        record.note(f'the case could not run: {error}')
        print(error)
        return 2
    finally:
        record.close()


if __name__ == '__main__':
    sys.exit(main())

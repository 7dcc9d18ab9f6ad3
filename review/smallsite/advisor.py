"""Stand-in for the service that knows which runners may run a step."""

import asyncio
import typing as t

from smallsite import wire


class Advisor:
    """Approves every runner that it is asked about, one call at a time.

    Parameters
    ----------
    decide_ms, period_ms, valid_ms : int
        As in the queue's policy.
    note : callable
        Writes a line of the record.
    """

    def __init__(
        self,
        decide_ms: int,
        period_ms: int,
        valid_ms: int,
        note: t.Callable[..., None],
    ) -> None:
        self.policy = {
            'decideMs': decide_ms,
            'periodMs': period_ms,
            'validMs': valid_ms,
        }
        self.server = wire.Server(self._handle)
        self._note = note
        self._lock = asyncio.Lock()

    async def _handle(self, request: wire.Request) -> wire.Answer:
        workers = request.body['workers']
        async with self._lock:
            wait_ms = self.policy['decideMs']
            wait_ms += self.policy['periodMs'] * len(workers)
            await asyncio.sleep(wait_ms / 1000)
        phase = request.body['phase']
        self._note('advised', phase=phase, workers=workers)
        return wire.Answer(
            200,
            {
                'approved': [[id, f'{phase}-{id}'] for id in workers],
                'validMs': self.policy['validMs'],
            },
        )

"""For how long a leader may extend leases without being confirmed.

Work must not end because the store is away, so a leader extends leases
without it for some seconds. Meanwhile another entry may have been elected:
the leader may be the only one that the store does not answer. A successor
then has to wait for all leases that the leader may have extended, before it
starts work elsewhere that an unreachable instance may still run.

To keep that wait short, a leader without the store needs a majority of the
entries. Each entry confirms only the latest term that it knows of, and a new
leader tells its own term to so many entries that the others are no majority.
From then on no earlier leader is confirmed. The entries that may confirm are
kept in the store, so that leader and successor count the same ones. A new
leader that does not reach enough of them waits as long as leaders may
continue at all.
"""

import math
import typing as t

import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import ledger as ledger_module
from persimmonsail.jobs import record
from persimmonsail.jobs import terms as terms_module
from persimmonsail import logs
from persimmonsail import store as store_module

# A leader may extend leases for this long after a confirmation by the store,
# which is requested twice a second, or by a majority of the entries.
CONFIRMATION_SECONDS = 1.2
# Without the store it continues for this long at most; no observed outage is
# longer.
GRACE_SECONDS = 8.0
# The entries are asked once the store has not confirmed the leader for this
# long.
_ASK_AFTER_SECONDS = 0.6
_ASK_TIMEOUT_SECONDS = 0.5
_PERIOD_SECONDS = 0.2

Ask = t.Callable[[str, int], t.Awaitable[terms_module.Answer]]
_Counts = t.Callable[[terms_module.Answer], bool]


class Mandate:
    """A leader's right to extend leases, and the bound of its predecessors'.

    Parameters
    ----------
    ledger : persimmonsail.jobs.ledger.Ledger
        This term's writes, and when the store last confirmed it.
    address : str
        This entry's address.
    terms : persimmonsail.jobs.terms.Terms
        What this entry knows of terms.
    ask : callable
        Tells this term to the entry at an address; returns its answer.

    Attributes
    ----------
    predecessors_until : float
        Time until which earlier leaders may have extended leases, on
        ``clock``.
    """

    def __init__(
        self,
        ledger: ledger_module.Ledger,
        address: str,
        terms: terms_module.Terms,
        ask: Ask,
    ) -> None:
        self._ledger = ledger
        self._address = address
        self._terms = terms
        self._ask = ask
        self.predecessors_until = clock.read() + GRACE_SECONDS
        # The stored electorate, and another one whose write is not known to
        # have taken effect.
        self._electorate = ledger.term.electorate or frozenset()
        self._next_electorate: frozenset[str] | None = None
        self._confirmed_at = -math.inf
        self._was_valid = True

    @property
    def epoch(self) -> int:
        """The leader's term."""
        return self._ledger.term.epoch

    def is_valid(self) -> bool:
        """Return whether the leader may extend leases now."""
        now = clock.read()
        unconfirmed_seconds = now - self._ledger.confirmed_at
        if unconfirmed_seconds < CONFIRMATION_SECONDS:
            return True
        return (
            unconfirmed_seconds < GRACE_SECONDS
            and now - self._confirmed_at < CONFIRMATION_SECONDS
        )

    async def run(self) -> None:
        """Bound the predecessors, then stay confirmed until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_confirm_loop)
            await self._bound_predecessors()
            await self._run_update_loop()

    async def _bound_predecessors(self) -> None:
        """Tell this term to enough entries to outvote its predecessors."""
        electorate = self._ledger.term.electorate
        until = self.predecessors_until
        while electorate is not None and clock.read() < until:
            required = len(electorate) - len(electorate) // 2
            informed = await self._ask_entries(
                electorate, lambda answer: True, required
            )
            if len(informed) >= required:
                self.predecessors_until = min(
                    until, clock.read() + CONFIRMATION_SECONDS
                )
                logs.write_event(
                    'predecessors-bounded',
                    epoch=self.epoch,
                    entries=len(electorate),
                    informed=len(informed),
                )
                return
            await anyio.sleep(_PERIOD_SECONDS)
        logs.write_warning(
            'predecessors-awaited',
            epoch=self.epoch,
            entries=-1 if electorate is None else len(electorate),
            seconds=until - clock.read(),
        )
        await anyio.sleep(max(until - clock.read(), 0.0))

    async def _run_confirm_loop(self) -> None:
        while True:
            age = clock.read() - self._ledger.confirmed_at
            if age > _ASK_AFTER_SECONDS:
                await self._confirm()
            self._log_change()
            await anyio.sleep(_PERIOD_SECONDS)

    async def _confirm(self) -> None:
        """Ask the entries whether they know of a later term."""
        electorates = [self._electorate]
        if self._next_electorate is not None:
            electorates.append(self._next_electorate)
        asked_at = clock.read()
        for electorate in electorates:
            required = len(electorate) // 2 + 1
            confirming = await self._ask_entries(
                electorate,
                lambda answer: answer.confirms(self.epoch),
                required,
            )
            if len(confirming) < required:
                return
        self._confirmed_at = asked_at

    async def _ask_entries(
        self, electorate: t.Collection[str], counts: _Counts, required: int
    ) -> set[str]:
        """Ask entries until enough have given an answer that counts."""
        counted: set[str] = set()

        async def ask(address: str) -> None:
            try:
                answer = await self._ask_entry(address)
            except exceptions.LinkLost as error:
                logs.write_event('term-unheard', address=address, error=error)
                return
            if counts(answer):
                counted.add(address)
            if len(counted) >= required:
                group.cancel_scope.cancel()

        with anyio.move_on_after(_ASK_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as group:
                for address in electorate:
                    group.start_soon(ask, address)
        return counted

    async def _ask_entry(self, address: str) -> terms_module.Answer:
        if address == self._address:
            return self._terms.answer(self.epoch)
        return await self._ask(address, self.epoch)

    async def _run_update_loop(self) -> None:
        """Keep the stored electorate up to date."""
        while True:
            age = clock.read() - self._ledger.confirmed_at
            current = frozenset((self._address, *self._terms.list_followers()))
            if age < CONFIRMATION_SECONDS and current != self._electorate:
                await self._store_electorate(current)
            await anyio.sleep(_PERIOD_SECONDS)

    async def _store_electorate(self, electorate: frozenset[str]) -> None:
        # Until the write is known to have taken effect, a successor may read
        # either electorate.
        self._next_electorate = electorate
        stored = ledger_module.Electorate(
            leader=self._ledger.term.id, entries=sorted(electorate)
        )
        await self._ledger.commit(
            [store_module.Write(record.ELECTORATE, stored.model_dump_json())]
        )
        self._electorate = electorate
        self._next_electorate = None
        logs.write_event(
            'electorate', epoch=self.epoch, entries=len(electorate)
        )

    def _log_change(self) -> None:
        valid = self.is_valid()
        if valid != self._was_valid:
            self._was_valid = valid
            logs.write_event(
                'mandate-regained' if valid else 'mandate-lost',
                epoch=self.epoch,
                unconfirmed_seconds=clock.read() - self._ledger.confirmed_at,
            )

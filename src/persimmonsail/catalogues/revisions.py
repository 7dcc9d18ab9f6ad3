"""The catalogue revision in force in a process, and its freshness.

The store holds one small head that names the revision in force; its
text has a key of its own, written before the head, so that a poll reads
some hundred bytes whatever the catalogue's size. A change is accepted
once a compare-and-swap has replaced the head. A process applies a
revision only if it is higher than every revision it has observed.
"""

import dataclasses
import math
import time
import typing as t

import anyio
import pydantic

from persimmonsail.catalogues import catalogue
from persimmonsail import exceptions
from persimmonsail import logs

HEAD_KEY = 'catalogue/head'
HISTORY_PREFIX = 'catalogue/history/'
TEXT_PREFIX = 'catalogue/text/'


@dataclasses.dataclass(frozen=True)
class Head:
    """An accepted catalogue; ``id`` identifies the swap that stored it.

    Attributes
    ----------
    revision : int
        Counts accepted changes; 0 for none.
    id : str
        Random, generated for each swap.
    author : str
        Who applied it.
    text : str
        The catalogue's INI text; empty in the store's head key.
    applied_at : float
        Wall clock seconds of the operator's machine; informational.
    """

    revision: int
    id: str
    author: str
    text: str
    applied_at: float = 0.0


NO_HEAD = Head(0, '', '', '')
_HEAD_ADAPTER = pydantic.TypeAdapter(Head)


def dump_head(head: Head) -> str:
    """Return a head as JSON text."""
    return _HEAD_ADAPTER.dump_json(head).decode()


def load_head(text: str) -> Head:
    """Read a head from JSON text.

    Raises
    ------
    persimmonsail.exceptions.CatalogueUnreadable
        If the text is not a head.
    """
    try:
        return _HEAD_ADAPTER.validate_json(text)
    except pydantic.ValidationError as error:
        raise exceptions.CatalogueUnreadable(
            f'no catalogue head: {error.error_count()} errors'
        ) from error


def _find_no_evidence() -> float:
    return -math.inf


class View:
    """The catalogue in force in this process.

    Parameters
    ----------
    freshness : float, optional
        Seconds for which evidence that nothing higher was accepted
        remains valid; by default the view always counts as fresh.

    Attributes
    ----------
    unreadable_revision : int
        A higher revision that this process cannot parse; 0 for none.
    established : bool
        Whether this process has itself read the store's head.
    find_peer_evidence : callable
        Returns the monotonic time at which the answers of all peers
        showed that none had a higher revision.
    """

    def __init__(self, freshness: float = math.inf) -> None:
        self.revision = 0
        self.catalogue = catalogue.EMPTY
        self.confirmed_at = -math.inf
        self.unreadable_revision = 0
        self.established = False
        self.find_peer_evidence: t.Callable[[], float] = _find_no_evidence
        self.changed = anyio.Event()
        self._freshness = freshness
        self._head = NO_HEAD
        self._applied_at = -math.inf

    @property
    def age(self) -> float:
        """Seconds since the revision was last confirmed as the newest."""
        return time.monotonic() - self.confirmed_at

    @property
    def evidence_at(self) -> float:
        """Monotonic time of the latest evidence that nothing is higher."""
        return max(self.confirmed_at, self.find_peer_evidence())

    @property
    def is_fresh(self) -> bool:
        """Whether work may be admitted under this revision now.

        A process that is partitioned from store and peers misses
        accepted changes and would go on enforcing the replaced one. Its
        evidence then expires, and it stops admitting.
        """
        if self.unreadable_revision:
            return False
        return time.monotonic() - self.evidence_at <= self._freshness

    def find_staleness(self) -> str:
        """Return why no work may be admitted; empty if it may be."""
        if self.unreadable_revision:
            return (
                f'catalogue revision {self.unreadable_revision} '
                'cannot be read here'
            )
        if not self.is_fresh:
            return 'neither store nor peers confirm the catalogue'
        return ''

    def offer(self, head: Head, source: str) -> bool:
        """Apply a head, unless a later one is in force.

        The comparison rejects late answers of a slow poll or of a peer,
        which would restore an edit that was already replaced.

        Parameters
        ----------
        head : Head
            The head with its text.
        source : str
            ``watch``, ``poll`` or ``peer``, for the log.

        Returns
        -------
        bool
            Whether it was applied.
        """
        if head.revision <= max(self.revision, self.unreadable_revision):
            return False
        try:
            parsed = catalogue.parse('catalogue', head.text)
        except exceptions.InvalidInput as error:
            # The catalogue is meant for a newer version of this program.
            # What cannot be parsed cannot be enforced: admission stops.
            self.unreadable_revision = head.revision
            logs.write_warning(
                'catalogue-refused',
                revision=head.revision,
                in_force=self.revision,
                findings=len(error.exceptions),
                first=error.exceptions[0],
            )
            return False
        self.catalogue = parsed
        self.revision = head.revision
        self.unreadable_revision = 0
        self._head = head
        self._applied_at = time.monotonic()
        logs.write_event(
            'catalogue',
            revision=head.revision,
            id=head.id,
            author=head.author,
            source=source,
        )
        self.changed.set()
        self.changed = anyio.Event()
        return True

    def confirm(self, head: Head, asked_at: float) -> bool:
        """Accept a head, read after a time, as evidence of freshness.

        Parameters
        ----------
        head : Head
            The head that was read; its text is not used.
        asked_at : float
            Monotonic time before the request was sent: a change
            accepted since may be missing from the answer.

        Returns
        -------
        bool
            Whether it shows that nothing higher was accepted.
        """
        if head.revision > self.revision:
            return False
        forked = head.revision == self.revision and head.id != self._head.id
        reverted = (
            head.revision < self.revision and asked_at > self._applied_at
        )
        if forked or reverted:
            # A store restored from an old backup lacks accepted changes:
            # it gives no evidence, and the revision in force stays.
            logs.write_warning(
                'catalogue-went-back',
                store_revision=head.revision,
                store_id=head.id,
                in_force=self.revision,
            )
            return False
        self.confirmed_at = max(self.confirmed_at, asked_at)
        self.established = True
        return True

    def describe(self) -> str:
        """Return the head in force as JSON text; empty for none."""
        return dump_head(self._head) if self.revision else ''


async def watch_freshness(view: View, period: float) -> None:
    """Log when a view becomes fresh or stale, until cancelled."""
    fresh = False
    while True:
        if view.is_fresh != fresh:
            fresh = view.is_fresh
            name = 'freshness-regained' if fresh else 'freshness-lost'
            logs.write_event(
                name,
                revision=view.revision,
                age=view.age,
                reason=view.find_staleness(),
            )
        await anyio.sleep(period)

"""Digests that stand for the tasks listed in a renewal.

A holder renews the leases of the same tasks every few seconds. It sends
the full list once and then only its digest; a sidecar that has another
set for that partition requests the list again. The digest is
cryptographic: a collision would extend the lease of a task that the
holder has abandoned, and it would run twice.
"""

import hashlib
import typing as t

from persimmonsail import control_pb2

_DIGEST_BYTES = 16
_Refs = t.Sequence[control_pb2.TaskRef]


class RefSetWriter:
    """The task sets that one partition's holder sent to each instance."""

    def __init__(self) -> None:
        self._sent_digests: dict[str, bytes] = {}

    def add_tasks(
        self, request: control_pb2.RenewRequest, refs: _Refs
    ) -> None:
        """Add tasks to a request, as a digest if the sidecar has the set."""
        digest = _digest(refs)
        if not refs or self._sent_digests.get(request.incarnation) != digest:
            request.tasks.extend(refs)
        else:
            request.tasks_digest = digest

    def note_reply(
        self,
        request: control_pb2.RenewRequest,
        reply: control_pb2.RenewReply,
    ) -> None:
        """Record which set the sidecar has, according to its reply."""
        if reply.resend:
            self._sent_digests.pop(request.incarnation, None)
        elif reply.accepted and request.tasks:
            self._sent_digests[request.incarnation] = _digest(request.tasks)


class RefSetReader:
    """The task sets that this sidecar received, one per partition."""

    def __init__(self) -> None:
        self._ref_sets: dict[int, tuple[bytes, list[control_pb2.TaskRef]]] = {}

    def restore(self, request: control_pb2.RenewRequest) -> bool:
        """Expand a request's digest into its tasks.

        Returns
        -------
        bool
            Whether the set is known; if not, it has to be sent again.
        """
        if not request.tasks_digest:
            refs = list(request.tasks)
            if refs:
                self._ref_sets[request.partition] = _digest(refs), refs
            return True
        digest, refs = self._ref_sets.get(request.partition, (b'', []))
        if digest != request.tasks_digest:
            return False
        request.tasks.extend(refs)
        return True


def drop_active(reply: control_pb2.RenewReply) -> None:
    """Remove the states of active tasks, which the holder already knows."""
    changed = [
        state for state in reply.states if state.phase != control_pb2.ACTIVE
    ]
    del reply.states[:]
    reply.states.extend(changed)


def _digest(refs: _Refs) -> bytes:
    names = sorted(f'{ref.task}/{ref.attempt}' for ref in refs)
    text = '\n'.join(names).encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()

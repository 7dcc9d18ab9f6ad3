"""Claims of idempotency keys for non-idempotent quick requests.

Two entries may receive the same key concurrently. The first to create
the key's claim in the store determines the attempt and the instance
that run the request; the other entry joins that attempt. The instance's
sidecar then runs it once and answers both.

A claim is moved to another attempt only by compare-and-swap, and only
once its current attempt is known not to run. Claims expire with their
lease in the store; no process has to clean up.
"""

import dataclasses
import hashlib
import time

import anyio
import pydantic

from persimmonsail import exceptions
from persimmonsail import store as store_module

PREFIX = 'claims/'
CLAIM_TTL_SECONDS = 600.0
_LEASE_REUSE_SECONDS = 60.0
_MAX_TRIES = 3
_RETRY_DELAY_SECONDS = 0.05


@dataclasses.dataclass(frozen=True)
class Claim:
    """The attempt assigned to an idempotency key.

    ``joined`` is set once an entry other than the claim's creator may
    have sent the attempt too; ``fingerprint`` distinguishes requests
    that reuse a key.
    """

    attempt: str
    instance: str
    incarnation: str
    address: str
    issued_ms: int
    fingerprint: str
    joined: bool = False


@dataclasses.dataclass(frozen=True)
class HeldClaim:
    """A claim and its revision in the store."""

    claim: Claim
    revision: int


_CLAIM = pydantic.TypeAdapter(Claim)


def compute_fingerprint(body: bytes) -> str:
    """Return a short hash that identifies a request body."""
    return hashlib.sha256(body).hexdigest()[:16]


class Claims:
    """Acquires, joins and moves claims in the platform's store."""

    def __init__(self, store: store_module.Store) -> None:
        self._store = store
        self._lease = ''
        self._leased_at = float('-inf')
        self._lock = anyio.Lock()

    async def acquire(
        self, key: str, claim: Claim, replaced: HeldClaim | None = None
    ) -> HeldClaim:
        """Create a claim, or join the existing one.

        Parameters
        ----------
        key : str
            The key to claim.
        claim : Claim
            The attempt to claim it for.
        replaced : HeldClaim, optional
            The claim to replace; its attempt must be known not to run.

        Raises
        ------
        persimmonsail.exceptions.StoreUnavailable
            If the store did not answer. Nothing was sent under this
            claim, so the request did not run.
        """
        path = f'{PREFIX}{hashlib.sha256(key.encode()).hexdigest()[:32]}'
        expected = replaced.revision if replaced else 0
        for remaining in reversed(range(_MAX_TRIES)):
            try:
                return await self._put_or_join(path, claim, expected)
            except (exceptions.StoreUnavailable, exceptions.LeaseExpired):
                if not remaining:
                    raise
                self._leased_at = float('-inf')
                await anyio.sleep(_RETRY_DELAY_SECONDS)
        raise AssertionError('unreachable')

    async def _put_or_join(
        self, path: str, claim: Claim, expected: int
    ) -> HeldClaim:
        value = _CLAIM.dump_json(claim).decode()
        lease = await self._find_lease()
        while True:
            try:
                revision = await self._store.put(path, value, expected, lease)
                return HeldClaim(claim, revision)
            except exceptions.Conflict:
                found = await self._store.get(path)
            if found is None:
                expected = 0
                continue
            existing_claim = _CLAIM.validate_json(found.value)
            # The response to an earlier try may have been lost after
            # the write took effect: then the existing claim is this one.
            if (
                existing_claim.attempt == claim.attempt
                or existing_claim.joined
            ):
                return HeldClaim(existing_claim, found.revision)
            claim = dataclasses.replace(existing_claim, joined=True)
            value = _CLAIM.dump_json(claim).decode()
            expected = found.revision

    async def _find_lease(self) -> str:
        # Claims made within a minute share one lease that is never
        # renewed, so each claim costs one write and no deletion.
        async with self._lock:
            age = time.monotonic() - self._leased_at
            if age > _LEASE_REUSE_SECONDS:
                self._lease = await self._store.grant_lease(CLAIM_TTL_SECONDS)
                self._leased_at = time.monotonic()
            return self._lease

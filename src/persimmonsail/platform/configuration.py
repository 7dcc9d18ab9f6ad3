"""The operators' configuration, as they write it into the store."""

import anyio
import pydantic

from persimmonsail import exceptions
from persimmonsail.jobs import queues
from persimmonsail import logs
from persimmonsail import store as store_module

_KEY = 'op/config'
# A change has to be in force 2 s after the store took it. A watch can
# go silent for good, so the key is read this often besides; two reads
# that fail still leave time for a third.
_POLL_SECONDS = 0.6
_WATCH_SECONDS = 20.0
_RETRY_SECONDS = 0.3
_MILLISECONDS = 1000


class _Wire(pydantic.BaseModel):
    # Operators' programs may be newer and send more.
    model_config = pydantic.ConfigDict(extra='ignore')


class _Advisor(_Wire):
    decide_ms: int = pydantic.Field(default=0, alias='decideMs')


class _Route(_Wire):
    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = pydantic.Field(default=1, alias='maxAttempts')
    slack_factor: float = pydantic.Field(default=1.0, alias='slackFactor')
    # On a route this is no duration of anything, but what a job may take
    # beside its critical path.
    target_ms: int = pydantic.Field(default=0, alias='targetDurationMs')
    advisor: _Advisor | None = None

    def to_queue(self) -> queues.Queue:
        return queues.Queue(
            name=self.name,
            host=self.host,
            prefix=self.prefix,
            service=self.service,
            priority=self.priority,
            max_attempts=self.max_attempts,
            slack_factor=self.slack_factor,
            target_ms=self.target_ms,
            advised=self.advisor is not None,
        )


class _Service(_Wire):
    name: str
    standby: bool = False


class _Limits(_Wire):
    body_bytes: int = pydantic.Field(default=262144, alias='maxBodyBytes')
    idle_ms: int = pydantic.Field(default=15000, alias='idleTimeoutMs')


class _Config(_Wire):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()


def decode(text: str) -> queues.Configuration:
    """Read one version of the configuration.

    Raises
    ------
    pydantic.ValidationError
        With each field that is missing or wrong.
    """
    found = _Config.model_validate_json(text)
    return queues.Configuration(
        version=found.version,
        queues=tuple(route.to_queue() for route in found.routes),
        services=tuple(
            queues.Service(service.name, service.standby)
            for service in found.services
        ),
        limits=queues.Limits(
            found.limits.body_bytes, found.limits.idle_ms / _MILLISECONDS
        ),
    )


class Follower:
    """Keeps a view of the configuration up to date."""

    def __init__(
        self, store: store_module.TransactionalStore, view: queues.View
    ) -> None:
        self._store = store
        self._view = view
        self._revision = 0
        # Up to where the store's history is known.
        self._followed = 0
        self._heard = True
        self.loaded = anyio.Event()

    async def run(self) -> None:
        """Follow changes by watch and by poll, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._poll)
            group.start_soon(self._watch)

    async def _poll(self) -> None:
        while True:
            try:
                page = await self._store.scan(_KEY)
            except exceptions.StoreUnavailable as error:
                self._note_contact(False, error)
                await anyio.sleep(_RETRY_SECONDS)
                continue
            self._note_contact(True)
            for item in page.items:
                if item.key == _KEY:
                    self._take(item.value, item.revision)
            self._followed = max(self._followed, page.revision)
            await anyio.sleep(_POLL_SECONDS)

    async def _watch(self) -> None:
        await self.loaded.wait()
        while True:
            try:
                found = await self._store.watch_changes(
                    _KEY, self._followed, _WATCH_SECONDS
                )
            except exceptions.StoreError:
                # The poll tells of lost contact, and goes on meanwhile.
                await anyio.sleep(_RETRY_SECONDS)
                continue
            self._followed = max(self._followed, found.revision)
            for change in found.changes:
                if change.key == _KEY and change.value is not None:
                    self._take(change.value, change.revision)

    def _note_contact(
        self, heard: bool, error: Exception | None = None
    ) -> None:
        if heard == self._heard:
            return
        self._heard = heard
        if heard:
            logs.write_event('store-regained')
        else:
            logs.write_warning('store-lost', error=error)

    def _take(self, text: str, revision: int) -> None:
        if revision <= self._revision:
            return
        self._revision = revision
        try:
            configuration = decode(text)
        except pydantic.ValidationError as error:
            logs.write_error(
                'configuration-unreadable', revision=revision, error=error
            )
            return
        if self._view.update(configuration):
            logs.write_event(
                'configuration',
                version=configuration.version,
                revision=revision,
                queues=len(configuration.queues),
            )
            self.loaded.set()

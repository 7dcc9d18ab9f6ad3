"""Decodes what operators write to the store, and follows it there."""

import anyio
import pydantic

from persimmonsail import exceptions
from persimmonsail.jobs import evacuations as evacuations_module
from persimmonsail.jobs import queues
from persimmonsail import logs
from persimmonsail import store as store_module

_OPERATOR_PREFIX = 'op/'
_CONFIGURATION_KEY = 'op/config'
# Exists for each evacuated availability zone, followed by the zone.
EVACUATION_PREFIX = 'op/evacuate/'
# A change must be in force within 2 s of its commit. A watch can stop
# delivering for good, so the key is also polled; at this interval two
# failed reads leave time for a third.
_POLL_SECONDS = 0.6
_WATCH_SECONDS = 20.0
_RETRY_DELAY_SECONDS = 0.3
_MILLISECONDS = 1000


class _WireModel(pydantic.BaseModel):
    # Newer tools of the operators may send further fields.
    model_config = pydantic.ConfigDict(extra='ignore')


class _Advisor(_WireModel):
    decide_ms: int = pydantic.Field(default=0, alias='decideMs')


class _Route(_WireModel):
    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = pydantic.Field(default=1, alias='maxAttempts')
    slack_factor: float = pydantic.Field(default=1.0, alias='slackFactor')
    # On a route this is not a duration, but the time that a job may take
    # in addition to its critical path.
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


class _Service(_WireModel):
    name: str
    standby: bool = False


class _Limits(_WireModel):
    body_bytes: int = pydantic.Field(default=262144, alias='maxBodyBytes')
    idle_ms: int = pydantic.Field(default=15000, alias='idleTimeoutMs')


class _Config(_WireModel):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()


def decode(text: str) -> queues.Configuration:
    """Decode one version of the configuration.

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
    """Updates a view of the configuration, and the evacuated zones.

    Parameters
    ----------
    store : persimmonsail.store.TransactionalStore
        The store that operators write to.
    view : persimmonsail.jobs.queues.View
        The configuration in force.
    evacuations : persimmonsail.jobs.evacuations.Evacuations
        The evacuated zones.
    """

    def __init__(
        self,
        store: store_module.TransactionalStore,
        view: queues.View,
        evacuations: evacuations_module.Evacuations,
    ) -> None:
        self._store = store
        self._view = view
        self._evacuations = evacuations
        self._revision = 0
        # The store's revision up to which changes have been read.
        self._followed_revision = 0
        self._in_contact = True
        self.loaded = anyio.Event()

    async def run(self) -> None:
        """Follow changes by watch and by poll, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_polls)
            group.start_soon(self._run_watch)

    async def _run_polls(self) -> None:
        while True:
            try:
                page = await self._store.scan(_OPERATOR_PREFIX)
            except exceptions.StoreUnavailable as error:
                self._note_contact(False, error)
                await anyio.sleep(_RETRY_DELAY_SECONDS)
                continue
            self._note_contact(True)
            for item in page.items:
                if item.key == _CONFIGURATION_KEY:
                    self._apply(item.value, item.revision)
            self._evacuations.apply_scan(
                (item.key for item in page.items), page.revision
            )
            self._followed_revision = max(
                self._followed_revision, page.revision
            )
            await anyio.sleep(_POLL_SECONDS)

    async def _run_watch(self) -> None:
        await self.loaded.wait()
        while True:
            try:
                found = await self._store.watch_changes(
                    _OPERATOR_PREFIX, self._followed_revision, _WATCH_SECONDS
                )
            except exceptions.StoreError:
                # The poll logs the lost contact, and continues meanwhile.
                await anyio.sleep(_RETRY_DELAY_SECONDS)
                continue
            self._followed_revision = max(
                self._followed_revision, found.revision
            )
            for change in found.changes:
                self._evacuations.apply_change(
                    change.key, change.value is not None, change.revision
                )
                if (
                    change.key == _CONFIGURATION_KEY
                    and change.value is not None
                ):
                    self._apply(change.value, change.revision)

    def _note_contact(
        self, in_contact: bool, error: Exception | None = None
    ) -> None:
        if in_contact == self._in_contact:
            return
        self._in_contact = in_contact
        if in_contact:
            logs.write_event('store-regained')
        else:
            logs.write_warning('store-lost', error=error)

    def _apply(self, text: str, revision: int) -> None:
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

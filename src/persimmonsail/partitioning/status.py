"""Status of the entries, for the operators' commands."""

import argparse
import dataclasses
import sys
import time
import typing as t

import anyio

from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import exits
from persimmonsail import links as links_module
from persimmonsail import logs
from persimmonsail.partitioning import partitions
from persimmonsail import store as store_module

_POLL_PERIOD_SECONDS = 0.2
_CALL_TIMEOUT_SECONDS = 2.0


def describe_entry(entry: t.Any) -> control_pb2.StatusReply:
    """Return the reply to an entry's ``Status`` call."""
    live = {instance.name for instance in entry.fleet.list_live()}
    return control_pb2.StatusReply(
        entry=entry.settings.process.name,
        revision=entry.view.revision,
        unready=entry.find_unready_reason(),
        store_age_seconds=entry.view.age,
        partitions=sorted(entry.partitions.held),
        instances=[
            control_pb2.InstanceStatus(
                instance=instance.name,
                revision=instance.revision,
                live=instance.name in live,
                leaving=instance.leaving,
            )
            for instance in entry.fleet.list_all()
        ],
    )


@dataclasses.dataclass(frozen=True)
class Unconfirmed:
    """An entry or instance without a confirmed revision, and why."""

    name: str
    reason: str


class Entries:
    """Queries the live entries one by one over new links."""

    def __init__(
        self, store: store_module.Store | None, links: links_module.Links
    ) -> None:
        self._store = store
        self._links = links

    async def list_addresses(self) -> dict[str, str]:
        """Return the control addresses of the store's live entries."""
        page = await self._store.scan(partitions.LIVE_PREFIX)
        return {
            entry.name: entry.control
            for entry in partitions.read_entries(page)
        }

    async def ask(self, address: str) -> control_pb2.StatusReply:
        """Return one entry's status.

        Raises
        ------
        persimmonsail.exceptions.LinkLost
            If it did not answer.
        """
        return await self._links.call(
            address,
            control_grpc.EntryStub,
            'Status',
            control_pb2.StatusQuery(),
            _CALL_TIMEOUT_SECONDS,
        )

    async def find_unconfirmed(self, revision: int) -> list[Unconfirmed]:
        """Return the live processes that have not confirmed a revision.

        For an instance, the sidecar's last report to an entry that has it
        as live counts: from then on the sidecar refuses work under a
        lower revision.
        """
        found: list[Unconfirmed] = []
        addresses = await self.list_addresses()
        async with anyio.create_task_group() as group:
            for name, address in addresses.items():
                group.start_soon(self._check, name, address, revision, found)
        return sorted(set(found), key=lambda item: item.name)

    async def _check(
        self,
        name: str,
        address: str,
        revision: int,
        found: list[Unconfirmed],
    ) -> None:
        try:
            reply = await self.ask(address)
        except exceptions.LinkLost as error:
            found.append(Unconfirmed(name, str(error)))
            return
        if reply.revision < revision:
            found.append(Unconfirmed(name, f'at revision {reply.revision}'))
        for instance in reply.instances:
            if instance.live and instance.revision < revision:
                reason = f'at revision {instance.revision}'
                found.append(Unconfirmed(instance.instance, reason))

    async def wait_confirmed(
        self, revision: int, seconds: float
    ) -> list[Unconfirmed]:
        """Wait until every live process has confirmed a revision.

        Each poll reads the list of entries again, as a dead entry is
        removed when its lease ends.

        Returns
        -------
        list of Unconfirmed
            Those that did not in time; empty if the revision is in force.
        """
        deadline = time.monotonic() + seconds
        while True:
            try:
                missing = await self.find_unconfirmed(revision)
            except exceptions.StoreError as error:
                missing = [Unconfirmed('store', str(error))]
            if not missing or time.monotonic() >= deadline:
                return missing
            await anyio.sleep(_POLL_PERIOD_SECONDS)


async def run(arguments: argparse.Namespace) -> int:
    """Print a line for each entry and each of its instances."""
    store = None
    if not arguments.store and not arguments.entries:
        print(
            'no entries to ask: give --store or control addresses',
            file=sys.stderr,
        )
        return exits.USAGE
    if arguments.store:
        store = store_module.open_adapter(
            arguments.store_kind, arguments.store, arguments.timeout
        )
    try:
        with links_module.Links() as links:
            return await _print_all(Entries(store, links), arguments.entries)
    except exceptions.StoreUnavailable as error:
        print(f'the store gave no answer: {error}', file=sys.stderr)
        return exits.UNAVAILABLE
    finally:
        if store is not None:
            await store.close()


async def _print_all(entries: Entries, addresses_given: list[str]) -> int:
    addresses = {address: address for address in addresses_given}
    if not addresses_given:
        addresses = await entries.list_addresses()
    code = exits.OK
    for name, address in sorted(addresses.items()):
        try:
            reply = await entries.ask(address)
        except exceptions.LinkLost as error:
            _print_line(entry=name, address=address, unreachable=error)
            code = exits.UNAVAILABLE
            continue
        _print_reply(address, reply)
    return code


def _print_reply(address: str, reply: control_pb2.StatusReply) -> None:
    _print_line(
        entry=reply.entry,
        address=address,
        revision=reply.revision,
        ready=not reply.unready,
        reason=reply.unready,
        confirmed_seconds_ago=reply.store_age_seconds,
        partitions=','.join(map(str, reply.partitions)),
        instances=sum(item.live for item in reply.instances),
    )
    for item in reply.instances:
        _print_line(
            instance=item.instance,
            seen_by=reply.entry,
            revision=item.revision,
            live=item.live,
            leaving=item.leaving,
        )


def _print_line(**fields: object) -> None:
    print(logs.format_line(fields))

"""The leader's instances, their links and the orders sent to them."""

import typing as t

import anyio.abc

from persimmonsail.jobs import boots
from persimmonsail.jobs import clock
from persimmonsail.jobs import eviction
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import instances
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import link as link_module
from persimmonsail.jobs import mandate as mandate_module
from persimmonsail.jobs import placer
from persimmonsail.jobs import reports
from persimmonsail.jobs import suspects
from persimmonsail import logs
from persimmonsail import metrics

# Callers are promised that no task of a job begins later than 3 s after its
# cancel was acknowledged, despite any delay in between. A start is therefore
# executed within this time after its job was last known not to be cancelled,
# or not at all; the difference allows for a worker's slow clock.
_START_DEADLINE_SECONDS = 2.5
# The worker's clock may be slow by 2% of a lease, and it detects the end of a
# lease slightly late.
_CLOCK_DRIFT = 0.02
_LAPSE_MARGIN_SECONDS = 0.4


class Fleet:
    """Maintains a link to every instance and sends orders over it.

    Parameters
    ----------
    mandate : persimmonsail.jobs.mandate.Mandate
        Whether this leader may extend leases, and until when earlier ones
        may have.
    lease_seconds : float
        How long runs continue after the leader's last message.
    reader : persimmonsail.jobs.reports.Reader
        Processes the sidecars' reports.
    on_reaction : callable
        Called with the reaction to each report.
    """

    def __init__(
        self,
        mandate: mandate_module.Mandate,
        lease_seconds: float,
        reader: reports.Reader,
        on_reaction: t.Callable[[reports.Reaction], None],
    ) -> None:
        self._mandate = mandate
        self._lease_seconds = lease_seconds
        self._lease_bound_seconds = (
            lease_seconds * (1 + _CLOCK_DRIFT) + _LAPSE_MARGIN_SECONDS
        )
        self._reader = reader
        self._on_reaction = on_reaction
        self.instances: dict[str, instances.Instance] = {}
        self._evacuated_zones: frozenset[str] = frozenset()
        self._links: dict[str, link_module.InstanceLink] = {}
        self._group: anyio.abc.TaskGroup

    def open(self, group: anyio.abc.TaskGroup) -> None:
        """Set the task group that all links run in."""
        self._group = group

    def get(self, address: str) -> instances.Instance:
        """Return an instance, opening its link on the first call."""
        if address not in self.instances:
            instance = instances.Instance(address)
            self.instances[address] = instance
            link = link_module.InstanceLink(
                instance,
                self._mandate.epoch,
                self._lease_seconds,
                self._get_lease_bound,
                self._handle_attached,
                self._handle_report,
            )
            self._links[address] = link
            self._group.start_soon(link.run)
        return self.instances[address]

    def adopt_claim(self, task: job_module.Task) -> None:
        """Adopt a run that an earlier leader has placed.

        That leader may have extended leases until it noticed that it was
        replaced, and they remain valid after that.
        """
        now = clock.read()
        instance = self.get(task.state.instance)
        instance.inherits_leases = True
        run = instances.Run(
            task=task.name,
            number=task.state.run,
            boot=task.state.boot,
            step=task.step,
            queue=task.job.queue,
            ordered_at=now,
            speed_limit_known=False,
            suspect=task.is_suspect,
            trial_seconds=suspects.find_trial_seconds(task),
        )
        instance.add_run(run)
        if task.state.crashes.apart:
            suspects.isolate(task, run, instance)

    def stop_task(self, task: job_module.Task) -> None:
        """Stop the run of a placed task."""
        instance = self.instances.get(task.state.instance)
        if instance is None:
            return
        run = instance.runs.get((task.name, task.state.run))
        if run is None or run.phase is instances.RunPhase.STOPPING:
            return
        self._order_stop(instance, run)

    def apply_evacuations(self, zones: t.Collection[str]) -> None:
        """Place no new work in these zones, and only in these."""
        for instance in self.instances.values():
            instance.evacuated = instance.zone in zones
        for zone in sorted(set(zones) - self._evacuated_zones):
            members = [i for i in self.instances.values() if i.zone == zone]
            logs.write_event(
                'evacuation-applied',
                zone=zone,
                instances=len(members),
                runs=sum(len(instance.runs) for instance in members),
            )
        self._evacuated_zones = frozenset(zones)

    def withdraw(self, claims: t.Sequence[placer.Claim], zone: str) -> None:
        """Withdraw the claims in an evacuated zone; none of them was sent.

        A gang is withdrawn as a whole, as its members only work together.
        """
        gangs = {
            claim.task.step_name
            for claim in claims
            if claim.task.step.gang and claim.instance.zone == zone
        }
        for claim in claims:
            in_gang = claim.task.step_name in gangs
            if claim.instance.zone != zone and not in_gang:
                continue
            if claim.is_held:
                self._withdraw(claim, 'evacuated')

    def start(self, claim: placer.Claim, verified_at: float) -> None:
        """Order the start of a run whose claim is committed.

        Parameters
        ----------
        claim : persimmonsail.jobs.placer.Claim
            The claimed run.
        verified_at : float
            When its job was last known not to be cancelled and its zone not
            to be evacuated, on ``clock``.
        """
        instance = claim.instance
        key = claim.run.id
        if not claim.is_held:
            # Abandoned or withdrawn while the claim was written.
            return
        if claim.run.phase is not instances.RunPhase.ORDERED:
            # Its stop was ordered meanwhile; the start would follow it.
            return
        if claim.task.job.phase.is_final:
            # Cancelled while the claim was written; no start was sent.
            instance.drop_run(key)
            return
        link = self._links[instance.address]
        expires_at = verified_at + _START_DEADLINE_SECONDS
        deadline = link.to_sidecar_clock(expires_at)
        if deadline is None or clock.read() >= expires_at:
            self._withdraw(claim, 'expired')
            return
        claim.run.order = link.next_sequence
        start = link.edit_next_orders().starts.add()
        start.deadline = deadline
        _fill_start(start, claim.run)
        start.payload = claim.task.job.specification.payload
        start.checkpoint = claim.task.state.checkpoint
        start.ticket = claim.permit
        if claim.run.speed_limit < 100:
            start.percent = claim.run.speed_limit

    def _withdraw(self, claim: placer.Claim, reason: str) -> None:
        """Roll back a claim whose start was never sent."""
        metrics.CLAIMS_WITHDRAWN.increment(reason)
        logs.write_event(
            'claim-withdrawn',
            task=claim.run.task,
            run=claim.run.number,
            instance=claim.instance.address,
            zone=claim.instance.zone,
            reason=reason,
            age_seconds=clock.read() - claim.run.ordered_at,
        )
        self._reader.roll_back_claim(claim.instance, claim.run)
        self._on_reaction(reports.Reaction(replan=True))

    def acknowledge(self) -> None:
        """Acknowledge committed ends to each sidecar."""
        for instance in self.instances.values():
            if instance.committed_end > instance.acknowledged:
                instance.acknowledged = instance.committed_end
                orders = self._links[instance.address].edit_next_orders()
                orders.boot, orders.born_ms = boots.split(instance.boot)
                orders.acknowledged = instance.acknowledged
                logs.write_event(
                    'ends-acknowledged',
                    instance=instance.address,
                    boot=instance.boot,
                    number=instance.acknowledged,
                )

    def abandon_unreachable(self) -> None:
        """Abandon runs of instances whose leases have all expired."""
        now = clock.read()
        for instance in self.instances.values():
            if instance.runs and now > self._find_leases_end(instance):
                if not instance.attached or not instance.has_agent:
                    self._reader.abandon_runs(instance, 'unreachable')
        self._stop_unneeded()

    def _find_leases_end(self, instance: instances.Instance) -> float:
        """Return the time until which runs there may hold leases."""
        if not instance.inherits_leases:
            return instance.leases_until
        inherited_until = (
            self._mandate.predecessors_until + self._lease_bound_seconds
        )
        return max(instance.leases_until, inherited_until)

    def _get_lease_bound(self) -> float:
        return self._lease_bound_seconds if self._mandate.is_valid() else 0.0

    def _handle_attached(self, instance: instances.Instance) -> None:
        instance.attached = True
        # A restarted sidecar has lost its state.
        instance.acknowledged = 0
        instance.has_reported = False
        logs.write_event('instance-attached', instance=instance.address)
        orders = self._links[instance.address].edit_next_orders()
        for run in instance.runs.values():
            # Orders of an earlier link don't count as received.
            run.order = 0
            if run.phase is instances.RunPhase.STOPPING:
                run.phase = instances.RunPhase.RUNNING
            _fill_start(orders.known.add(), run)

    def _handle_report(
        self, instance: instances.Instance, report: fleet_pb2.Report
    ) -> None:
        now = clock.read()
        if report.fenced:
            # The worker's agent no longer obeys earlier leaders, so only
            # leases allowed by this leader count.
            instance.leases_until = now + self._lease_bound_seconds
            instance.inherits_leases = False
        reaction = self._reader.read(instance, report, now)
        for run in reaction.stops:
            self._order_stop(instance, run)
        for change in reaction.paces:
            self._order_speed_limit(instance, change.run, change.percent)
        for run in eviction.select_leaving(instance, now):
            self._evict(instance, run, 'leaving')
        for run in eviction.select_starved(
            instance, now, self._reader.is_last_placed
        ):
            self._evict(instance, run, 'starved')
        self._stop_unneeded()
        self._on_reaction(reaction)

    def _stop_unneeded(self) -> None:
        """Stop members of broken gangs, and runs of tasks already done."""
        for broken in self._reader.pop_broken_gang_tasks():
            for member in broken.job.list_gang(broken):
                if member.is_placed:
                    self.stop_task(member)
        for superseded in self._reader.pop_superseded_tasks():
            self.stop_task(superseded)

    def _evict(
        self, instance: instances.Instance, run: instances.Run, reason: str
    ) -> None:
        logs.write_event(
            'evicted',
            task=run.task,
            run=run.number,
            instance=instance.address,
            reason=reason,
            percent=run.percent,
            pace=run.speed_limit,
        )
        self._order_stop(instance, run)

    def _order_stop(
        self, instance: instances.Instance, run: instances.Run
    ) -> None:
        link = self._links[instance.address]
        run.phase = instances.RunPhase.STOPPING
        run.order = link.next_sequence
        link.edit_next_orders().stops.add(task=run.task, run=run.number)
        logs.write_event(
            'stop-ordered',
            task=run.task,
            run=run.number,
            instance=instance.address,
        )

    def _order_speed_limit(
        self, instance: instances.Instance, run: instances.Run, percent: int
    ) -> None:
        logs.write_event(
            'paced',
            task=run.task,
            run=run.number,
            instance=instance.address,
            before=run.speed_limit if run.speed_limit_known else -1,
            percent=percent,
        )
        eviction.record_speed_limit(run, percent, clock.read())
        orders = self._links[instance.address].edit_next_orders()
        orders.paces.add(task=run.task, run=run.number, percent=percent)


def _fill_start(start: fleet_pb2.Start, run: instances.Run) -> None:
    size = run.step.committed
    start.task = run.task
    start.run = run.number
    start.boot, start.born_ms = boots.split(run.boot)
    start.size.millicores = size.millicores
    start.size.memory_mib = size.memory_mib
    start.size.accelerators = size.accelerators

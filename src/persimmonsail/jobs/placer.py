"""Placement of one step's tasks within a scheduling round."""

import dataclasses
import typing as t

from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import placement
from persimmonsail.jobs import suspects
from persimmonsail.jobs import throttling

# Above any order number, so no report can acknowledge it.
NOT_SENT = 1 << 62


@dataclasses.dataclass(frozen=True)
class Claim:
    """A placed run that has to be committed and then started.

    ``permit`` is the advisor's permit if the queue is advised.
    """

    task: job_module.Task
    run: instances.Run
    instance: instances.Instance
    permit: str = ''

    @property
    def is_held(self) -> bool:
        """Whether its run still takes capacity of the instance."""
        return self.instance.runs.get(self.run.id) is self.run


class Placer:
    """Places the tasks of one step.

    Parameters
    ----------
    candidates : persimmonsail.jobs.placement.Candidates
        The instances that may run them.
    model : persimmonsail.jobs.interference.Model
        Learned interference between images.
    now, deadline : float
        The current time and the end of the job's objective; seconds of
        the leader's clock.
    permits : mapping of str to str
        The advisor's permits, by boot.
    """

    def __init__(
        self,
        candidates: placement.Candidates,
        model: interference.Model,
        now: float,
        deadline: float,
        permits: t.Mapping[str, str],
    ) -> None:
        self._candidates = candidates
        self._model = model
        self._now = now
        self._deadline = deadline
        self._permits = permits

    def place(
        self, tasks: t.Sequence[job_module.Task], min_speed: float
    ) -> list[Claim]:
        """Place all of these tasks, or none of them."""
        if not tasks:
            return []
        if tasks[0].step.same_rack and len(tasks) > 1:
            for rack in self._candidates.list_racks():
                claims = self._try_place(tasks, min_speed, rack)
                if claims:
                    return claims
        return self._try_place(tasks, min_speed)

    def choose_isolated(
        self, task: job_module.Task
    ) -> instances.Instance | None:
        """Return an instance on which a suspect can be isolated."""
        return self._candidates.choose_isolated(task.avoid, self._now)

    def place_isolated(
        self, task: job_module.Task, instance: instances.Instance
    ) -> Claim:
        """Place a suspect and block other starts beside it for a while."""
        claim = self._add_run(task, 1 + task.state.run, instance)
        suspects.isolate(task, claim.run, instance)
        return claim

    def _try_place(
        self,
        tasks: t.Sequence[job_module.Task],
        min_speed: float,
        rack: str | None = None,
    ) -> list[Claim]:
        number = 1 + max(task.state.run for task in tasks)
        # A checkpoint of one gang member is valid for all members, and all
        # of them have to resume from the same one.
        checkpoints = [t.state.checkpoint for t in tasks if t.state.checkpoint]
        claims: list[Claim] = []
        for task in tasks:
            instance = self._candidates.choose(
                task.avoid, min_speed, rack, task.is_suspect
            )
            if instance is None:
                self._roll_back(claims)
                return []
            claims.append(self._add_run(task, number, instance))
        for task in tasks:
            task.state.checkpoint = checkpoints[0] if checkpoints else ''
        return claims

    def _roll_back(self, claims: t.Sequence[Claim]) -> None:
        for claim in claims:
            claim.instance.drop_run((claim.run.task, claim.run.number))
            self._candidates.update_instance(claim.instance)

    def _add_run(
        self,
        task: job_module.Task,
        number: int,
        instance: instances.Instance,
    ) -> Claim:
        run = instances.Run(
            task=task.name,
            number=number,
            boot=instance.boot,
            step=task.step,
            queue=task.job.queue,
            order=NOT_SENT,
            ordered_at=self._now,
            due_at=self._deadline,
            suspect=task.is_suspect,
            trial_seconds=suspects.find_trial_seconds(task),
        )
        if task.step.best_effort_cpu:
            run.speed_limit = throttling.choose_initial_percent(
                run, instance, self._model, self._now
            )
            run.speed_limit_at = self._now
        instance.add_run(run)
        self._candidates.update_instance(instance)
        permit = self._permits.get(instance.boot, '')
        return Claim(task, run, instance, permit)

"""Runs of one step's tasks, placed one after the other in a round."""

import dataclasses
import typing as t

from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import pace
from persimmonsail.jobs import placement
from persimmonsail.jobs import suspects

# Higher than the number of any orders: no report can have seen them.
_NOT_SENT = 1 << 62


@dataclasses.dataclass(frozen=True)
class Claim:
    """A run that was placed and has to be committed, then ordered.

    ``ticket`` is the advisor's permission, where the queue has one.
    """

    task: job_module.Task
    run: instances.Run
    instance: instances.Instance
    ticket: str = ''


class Placer:
    """Places the tasks of one step, one after the other.

    Parameters
    ----------
    candidates : persimmonsail.jobs.placement.Candidates
        Where they may run.
    model : persimmonsail.jobs.interference.Model
        What is known of the images.
    now, due : float
        The time, and when the job's objective is missed; seconds of the
        leader's clock.
    tickets : mapping of str to str
        The advisor's permissions, by boot.
    """

    def __init__(
        self,
        candidates: placement.Candidates,
        model: interference.Model,
        now: float,
        due: float,
        tickets: t.Mapping[str, str],
    ) -> None:
        self._candidates = candidates
        self._model = model
        self._now = now
        self._due = due
        self._tickets = tickets

    def place(
        self, tasks: t.Sequence[job_module.Task], least_speed: float
    ) -> list[Claim]:
        """Find room for all of these tasks, or for none of them."""
        if not tasks:
            return []
        if tasks[0].step.same_rack and len(tasks) > 1:
            for rack in self._candidates.list_racks():
                claims = self._try(tasks, least_speed, rack)
                if claims:
                    return claims
        return self._try(tasks, least_speed)

    def choose_apart(self, task: job_module.Task) -> instances.Instance | None:
        """Find an instance where a suspect is apart from others."""
        return self._candidates.choose_apart(task.avoid, self._now)

    def place_apart(
        self, task: job_module.Task, instance: instances.Instance
    ) -> Claim:
        """Place a suspect where nothing else began just now, or will."""
        claim = self._add_run(task, 1 + task.state.run, instance)
        suspects.keep_apart(task, claim.run, instance)
        return claim

    def _try(
        self,
        tasks: t.Sequence[job_module.Task],
        least_speed: float,
        rack: str | None = None,
    ) -> list[Claim]:
        number = 1 + max(task.state.run for task in tasks)
        # What one member of a gang has saved is valid for all of them, and
        # all have to resume from the same.
        saved = [t.state.checkpoint for t in tasks if t.state.checkpoint]
        claims: list[Claim] = []
        for task in tasks:
            instance = self._candidates.choose(
                task.avoid, least_speed, rack, task.is_suspect
            )
            if instance is None:
                self._withdraw(claims)
                return []
            claims.append(self._add_run(task, number, instance))
        for task in tasks:
            task.state.checkpoint = saved[0] if saved else ''
        return claims

    def _withdraw(self, claims: t.Sequence[Claim]) -> None:
        for claim in claims:
            claim.instance.drop_run((claim.run.task, claim.run.number))
            self._candidates.note_change(claim.instance)

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
            order=_NOT_SENT,
            ordered_at=self._now,
            due=self._due,
            suspect=task.is_suspect,
        )
        if task.step.best_effort_cpu:
            run.pace = pace.choose_first_percent(
                run, instance, self._model, self._now
            )
            run.paced_at = self._now
        instance.add_run(run)
        self._candidates.note_change(instance)
        ticket = self._tickets.get(instance.boot, '')
        return Claim(task, run, instance, ticket)

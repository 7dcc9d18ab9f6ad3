"""Parsing of the items that entries and sidecars write to the store.

Another version, or another writer, may have written any of them. One that
can't be read is logged, for its operator to look at, and holds up no other.
"""

from persimmonsail import addresses
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import queues
from persimmonsail.jobs import record
from persimmonsail import logs


def parse_job(
    id: str, text: str, progress: str | None, view: queues.View
) -> job_module.Job | None:
    """Return a stored job; None if it is unreadable.

    Parameters
    ----------
    id, text : str
        The job's id, and its stored submission.
    progress : str, optional
        Its stored progress.
    view : persimmonsail.jobs.queues.View
        Gets the job's queue unless it is known.
    """
    try:
        stored = record.StoredSubmission.model_validate_json(text)
        job = job_module.Job(
            id,
            stored.queue,
            stored.accepted_ms,
            stored.read_specification(),
            record.decode_progress(progress) if progress else None,
        )
    except ValueError as error:
        logs.write_error('job-unreadable', job=id, error=error)
        return None
    # Without its terms a job would fail at its first failed run, or wait
    # forever, until the configuration is read, and also if the queue has
    # been removed from it since.
    if stored.terms is not None:
        view.add(stored.terms)
    return job


def parse_cancel(id: str, text: str) -> record.StoredCancel:
    """Return a cancel marker; an unreadable one cancels the job as well."""
    try:
        return record.StoredCancel.model_validate_json(text)
    except ValueError as error:
        logs.write_warning('cancel-unreadable', job=id, error=error)
        return record.StoredCancel()


def parse_instance(address: str, text: str) -> record.StoredInstance | None:
    """Return a registered instance; None if it is unreadable."""
    try:
        # A link to an invalid address would raise an error and end the
        # leader's term.
        addresses.check(address)
        return record.StoredInstance.model_validate_json(text)
    except ValueError as error:
        logs.write_warning(
            'instance-unreadable', instance=address, error=error
        )
        return None

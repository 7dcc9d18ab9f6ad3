"""Removal of expired jobs and cancel markers from the store."""

import time

import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import record
from persimmonsail import logs
from persimmonsail import store as store_module

_SWEEP_SECONDS = 10.0
_MILLISECONDS = 1000


async def run_sweep_loop(
    store: store_module.TransactionalStore,
    board: board_module.Board,
    retention_seconds: float,
) -> None:
    """Remove expired jobs, and expired cancel markers without a job.

    Parameters
    ----------
    store : persimmonsail.store.TransactionalStore
        Holds them.
    board : persimmonsail.jobs.board.Board
        The leader's jobs.
    retention_seconds : float
        How long an ended job can be queried.
    """
    while True:
        await anyio.sleep(_SWEEP_SECONDS)
        cutoff_ms = (time.time() - retention_seconds) * _MILLISECONDS
        for id in board.list_ended(cutoff_ms):
            await _remove(store, board, id)
        for id in board.list_orphaned_cancels(cutoff_ms):
            await _remove(store, board, id)


async def _remove(
    store: store_module.TransactionalStore, board: board_module.Board, id: str
) -> None:
    # Not conditional on the head: nothing else writes these keys any more.
    keys = [record.JOBS + id, record.CANCELS + id, record.PROGRESS + id]
    try:
        await store.commit({}, (), keys)
    except exceptions.StoreError as error:
        logs.write_event('sweep-failed', job=id, error=error)
        return
    board.forget(id)

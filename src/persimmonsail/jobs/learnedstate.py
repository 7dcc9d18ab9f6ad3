"""Persists what a leader has learned for its successor.

Without it a new leader learns again which images interfere: meanwhile serving
tasks miss their targets and heavy jobs wait. No guarantee depends on this
state, so it is written without the ledger, and an unreadable version is only
logged.
"""

import anyio
import pydantic

from persimmonsail import exceptions
from persimmonsail.jobs import interference
from persimmonsail.jobs import record
from persimmonsail import logs
from persimmonsail import store as store_module

# What a leader learns within one period is lost with it. Each save writes some
# kilobytes, out of the 4 KB/s that a process may send.
_SAVE_PERIOD_SECONDS = 4.0
# A put takes 4 ms, and up to 0.3 s with a slow store; without a leader no task
# starts.
_LAST_SAVE_TIMEOUT_SECONDS = 0.1
# Larger states are not saved: the store's limit is one megabyte per value.
_MAX_BYTES = 200_000

_LEARNED = pydantic.TypeAdapter(dict[str, interference.LearnedState])


async def load(
    store: store_module.TransactionalStore, model: interference.Model
) -> None:
    """Restore what an earlier leader has learned, if it can be read."""
    try:
        item = await store.get(record.LEARNED_STATE)
    except exceptions.StoreUnavailable as error:
        logs.write_event('knowledge-unheard', error=error)
        return
    if item is None:
        return
    try:
        model.restore(_LEARNED.validate_json(item.value))
    except ValueError as error:
        # Written by another version; the model learns again.
        logs.write_warning('knowledge-unreadable', error=error)
        return
    logs.write_event(
        'knowledge-loaded', revision=item.revision, bytes=len(item.value)
    )


async def run_save_loop(
    store: store_module.TransactionalStore,
    model: interference.Model,
    period_seconds: float = _SAVE_PERIOD_SECONDS,
) -> None:
    """Save what was learned periodically, until cancelled."""
    saved = ''
    while True:
        await anyio.sleep(period_seconds)
        saved = await _save(store, model, saved)


async def save_last(
    store: store_module.TransactionalStore, model: interference.Model
) -> None:
    """Save what was learned since the last save, if the store is quick.

    Without it a leader that is stopped within its first save period would hand
    over nothing. Waiting for a slow store would delay the next leader.
    """
    with anyio.move_on_after(_LAST_SAVE_TIMEOUT_SECONDS) as scope:
        await _save(store, model, '')
    if scope.cancelled_caught:
        logs.write_event('knowledge-unsaved', error='no answer in time')


async def _save(
    store: store_module.TransactionalStore,
    model: interference.Model,
    saved: str,
) -> str:
    """Write what was learned if it has changed; return the state written."""
    text = _LEARNED.dump_json(model.export()).decode()
    if text == saved:
        return saved
    if len(text) > _MAX_BYTES:
        logs.write_event('knowledge-unsaved', error='too large')
        return text
    try:
        await store.put(record.LEARNED_STATE, text)
    except exceptions.StoreError as error:
        logs.write_event('knowledge-unsaved', error=error)
        return saved
    return text

"""An exception and its call stack as fields of one log line."""

import pathlib
import traceback
import typing as t

_MAX_FRAMES = 12
_MAX_TEXT_LENGTH = 500


def describe(error: BaseException) -> dict[str, str]:
    """Return an exception's type, text, innermost frame and call stack.

    For an exception group, the first leaf exception is described, and
    the number of leaves is added.
    """
    leaves = list(list_leaves(error))
    first = leaves[0]
    frames = traceback.extract_tb(first.__traceback__)[-_MAX_FRAMES:]
    locations = [
        f'{pathlib.Path(frame.filename).name}:{frame.lineno}:{frame.name}'
        for frame in frames
    ]
    return {
        'error': type(first).__name__,
        'text': str(first)[:_MAX_TEXT_LENGTH],
        'errors': str(len(leaves)),
        'where': locations[-1] if locations else '',
        'trace': ' '.join(locations),
    }


def list_leaves(error: BaseException) -> t.Iterator[BaseException]:
    """Yield an exception, or all leaf exceptions of a group."""
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for inner in error.exceptions:
        yield from list_leaves(inner)

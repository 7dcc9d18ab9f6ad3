"""An error and its call path, told as fields of one log line."""

import pathlib
import traceback
import typing as t

_MAX_FRAMES = 12
_MAX_TEXT = 500


def describe(error: BaseException) -> dict[str, str]:
    """Return an error's type, text, innermost place and call path.

    Of an exception group the first plain error is told, and how many
    there are.
    """
    leaves = list(list_leaves(error))
    first = leaves[0]
    frames = traceback.extract_tb(first.__traceback__)[-_MAX_FRAMES:]
    places = [
        f'{pathlib.Path(frame.filename).name}:{frame.lineno}:{frame.name}'
        for frame in frames
    ]
    return {
        'error': type(first).__name__,
        'text': str(first)[:_MAX_TEXT],
        'errors': str(len(leaves)),
        'where': places[-1] if places else '',
        'trace': ' '.join(places),
    }


def list_leaves(error: BaseException) -> t.Iterator[BaseException]:
    """Return an error, or all plain errors of a group."""
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for inner in error.exceptions:
        yield from list_leaves(inner)

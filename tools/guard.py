"""One guard that the proofs rely on, and the tests that cover it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Guard:
    """A guard's source, and the source with the guard removed.

    ``pattern`` occurs exactly once in ``file``; ``replacement`` is the
    same source without the guard.
    """

    name: str
    invariant: str
    file: str
    pattern: str
    replacement: str
    tests: tuple[str, ...]

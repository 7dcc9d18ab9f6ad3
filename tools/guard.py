"""One guard that the proofs lean on, and the tests that need it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Guard:
    """One guard: where it stands, and the source without it.

    ``pattern`` stands exactly once in ``file``; ``replacement`` is the
    same place with the guard taken out.
    """

    name: str
    invariant: str
    file: str
    pattern: str
    replacement: str
    tests: tuple[str, ...]

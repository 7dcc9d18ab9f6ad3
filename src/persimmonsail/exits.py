"""Exit codes of every command."""

OK = 0
BROKEN = 1
USAGE = 2
INVALID_INPUT = 3
UNAVAILABLE = 4
LOST_RACE = 5
CRASHED = 6
EVIDENCE = 7
OUTCOME_UNKNOWN = 8
NOT_CONFIRMED = 9

# One line each, for ``--help`` and docs/OPERATIONS.md.
MEANINGS = {
    OK: 'done, or stopped gracefully',
    BROKEN: 'a guarantee was violated, or the stored catalogue is corrupt',
    USAGE: 'invalid command line, or an edit without a base revision',
    INVALID_INPUT: 'invalid file; all findings are printed with locations',
    UNAVAILABLE: 'the store or an entry did not answer; nothing was changed',
    LOST_RACE: "another operator's edit came first; yours stays in your file",
    CRASHED: 'an unhandled exception ended a role; see event=crash',
    EVIDENCE: 'the evidence is damaged, or leaves a guarantee undecided',
    OUTCOME_UNKNOWN: 'unknown whether the edit was accepted',
    NOT_CONFIRMED: 'accepted, but not confirmed in force by every process',
}


def describe() -> str:
    """Return all codes with their meanings, for ``--help``."""
    lines = [f'  {code}  {text}' for code, text in MEANINGS.items()]
    return '\n'.join(['exit codes:', *lines, ''])

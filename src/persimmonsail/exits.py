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
    BROKEN: 'a promise did not hold, or the kept catalogue is broken',
    USAGE: 'the command line is wrong, or an edit names no base revision',
    INVALID_INPUT: 'a file has findings; all are printed with their places',
    UNAVAILABLE: 'the store or an entry gave no answer; nothing was changed',
    LOST_RACE: "another operator's edit won; yours is kept in your file",
    CRASHED: 'a role met an error that nobody foresaw; see event=crash',
    EVIDENCE: 'the evidence is broken, or leaves a promise open',
    OUTCOME_UNKNOWN: 'unknown whether the edit was accepted',
    NOT_CONFIRMED: 'accepted, but not confirmed in force by every process',
}


def describe() -> str:
    """Return all codes with their meanings, for ``--help``."""
    lines = [f'  {code}  {text}' for code, text in MEANINGS.items()]
    return '\n'.join(['exit codes:', *lines, ''])

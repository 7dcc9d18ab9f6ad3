"""Exit codes of every command."""

OK = 0
BROKEN = 1
USAGE = 2
INVALID_INPUT = 3
UNAVAILABLE = 4
LOST_RACE = 5
CRASHED = 6
# An audit that found no violation, but whose evidence is broken or
# leaves a promise open.
EVIDENCE = 7
OUTCOME_UNKNOWN = 8
NOT_CONFIRMED = 9

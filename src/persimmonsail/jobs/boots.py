"""Names of the starts of workers' agents.

An agent may start again under its id. Where a boot is named by one string,
it consists of the agent's id and of the time at which it was born, so that
two starts never share a name. Agents of earlier versions don't report that
time; each of their starts has an id of its own, which is the name.
"""

_SEPARATOR = '@'


def join(agent_id: str, born_ms: int) -> str:
    """Return the name of a boot.

    Parameters
    ----------
    agent_id : str
        The id of the worker's agent; empty if it is not known.
    born_ms : int
        When it started, in milliseconds since the epoch; 0 if it has not
        reported that.
    """
    if not born_ms and _SEPARATOR not in agent_id:
        return agent_id
    return f'{agent_id}{_SEPARATOR}{born_ms}'


def split(boot: str) -> tuple[str, int]:
    """Return a boot's agent id and when it was born; the reverse of join."""
    agent_id, separator, born_ms = boot.rpartition(_SEPARATOR)
    if separator and born_ms.isdecimal():
        return agent_id, int(born_ms)
    return boot, 0

"""What an entry knows of leaders' terms, and of the entries that follow."""

import dataclasses
import typing as t

from persimmonsail.jobs import clock

# An entry that has not asked for this long follows no more. It is longer than
# outages of the store, during which entries don't ask.
_FOLLOWER_TIMEOUT_SECONDS = 30.0


@dataclasses.dataclass(frozen=True)
class Answer:
    """An entry's answer to the question for the latest term.

    Attributes
    ----------
    epoch : int
        The latest term that it knows of. It confirms no earlier one from now
        on.
    informed : bool
        Whether it has read the leader key since its process started.
    """

    epoch: int
    informed: bool

    def confirms(self, epoch: int) -> bool:
        """Return whether a term is the latest one as far as it knows."""
        return self.informed and self.epoch == epoch


class Terms:
    """The latest term that this entry knows of, and who follows it."""

    def __init__(self) -> None:
        self.epoch = 0
        self._informed = False
        # When each entry last asked this one, by address.
        self._followers: dict[str, float] = {}

    def note_stored(self, epoch: int) -> None:
        """Record a term read from the store, or the revision that ended it."""
        self.epoch = max(self.epoch, epoch)
        self._informed = True

    def answer(self, epoch: int, follower: str = '') -> Answer:
        """Answer another entry, which knows of a term.

        Parameters
        ----------
        epoch : int
            The latest term that it knows of.
        follower : str, optional
            Its address, if this entry is the leader that it knows of.
        """
        self.epoch = max(self.epoch, epoch)
        if follower:
            self._followers[follower] = clock.read()
        return Answer(self.epoch, self._informed)

    def list_followers(self) -> t.Iterable[str]:
        """Return the addresses of the entries that follow this one."""
        since = clock.read() - _FOLLOWER_TIMEOUT_SECONDS
        self._followers = {
            address: at
            for address, at in self._followers.items()
            if at > since
        }
        return self._followers

"""The availability zones that operators have evacuated.

An evacuated zone gets no new runs; those it has continue. The store holds a
marker key for each such zone. A leader reads the markers to place runs
elsewhere, and every claim is committed only if the marker of its zone is
absent: what a leader has read may be outdated.
"""

import typing as t

from persimmonsail import logs


class Evacuations:
    """The evacuated zones, as last read by this process.

    Parameters
    ----------
    marker_prefix : str, optional
        What a zone's marker key consists of before the zone; without it
        no zone can be evacuated.

    Attributes
    ----------
    zones : frozenset of str
        The evacuated zones.
    """

    def __init__(self, marker_prefix: str = '') -> None:
        self._marker_prefix = marker_prefix
        self._revision = 0
        self.zones: frozenset[str] = frozenset()

    def list_markers(self, zones: t.Iterable[str]) -> list[str]:
        """Return the marker keys of these zones, in order."""
        if not self._marker_prefix:
            return []
        return [self._marker_prefix + zone for zone in sorted(zones) if zone]

    def find_zone(self, key: str) -> str:
        """Return the zone that a key marks; empty for any other key."""
        if not self._marker_prefix or not key.startswith(self._marker_prefix):
            return ''
        return key.removeprefix(self._marker_prefix)

    def apply_scan(self, keys: t.Iterable[str], revision: int) -> None:
        """Apply a complete scan of the store's keys.

        Parameters
        ----------
        keys : iterable of str
            The keys found; those that mark no zone are ignored.
        revision : int
            The store's revision at the start of the scan. A scan older than
            an applied change is ignored.
        """
        if revision < self._revision:
            return
        self._revision = revision
        zones = {self.find_zone(key) for key in keys}
        self._update(zones - {''}, revision)

    def apply_change(self, key: str, present: bool, revision: int) -> None:
        """Apply a change of one key, unless a later one was applied.

        Parameters
        ----------
        key : str
            The changed key; ignored if it marks no zone.
        present : bool
            Whether the key exists now.
        revision : int
            The store's revision of the change.
        """
        zone = self.find_zone(key)
        if not zone or revision < self._revision:
            return
        self._revision = revision
        if present:
            self._update(self.zones | {zone}, revision)
        else:
            self._update(self.zones - {zone}, revision)

    def add_found(self, zone: str) -> None:
        """Add a zone whose marker was found by a refused commit."""
        self._update(self.zones | {zone}, self._revision)

    def _update(self, zones: t.Collection[str], revision: int) -> None:
        for zone in sorted(self.zones.difference(zones)):
            logs.write_event('zone-reopened', zone=zone, revision=revision)
        for zone in sorted(set(zones) - self.zones):
            logs.write_event('zone-evacuated', zone=zone, revision=revision)
        self.zones = frozenset(zones)

"""Findings in settings and catalogue files, reported together."""

import configparser
import dataclasses
import re

import pydantic

from persimmonsail import exceptions


class Finding(exceptions.PersimmonsailError):
    """One thing that is wrong, with its place and what is allowed."""

    def __init__(self, place: 'Place', text: str) -> None:
        super().__init__(f'{place}: {text}')
        self.place = place
        self.text = text


@dataclasses.dataclass(frozen=True)
class Place:
    """Where a finding stands; lines count from one, zero is unknown."""

    file: str
    line: int = 0
    section: str = ''
    option: str = ''

    def __str__(self) -> str:
        where = f'{self.file}:{self.line}' if self.line else self.file
        inside = f' [{self.section}]' if self.section else ''
        option = f' {self.option}' if self.option else ''
        return f'{where}{inside}{option}'


class Places:
    """Finds the line of a section or an option in INI text."""

    _SECTION = re.compile(r'^\[(?P<name>[^]]+)\]')
    _OPTION = re.compile(r'^(?P<name>[^\s=:#;\[][^=:]*?)\s*[=:]')

    def __init__(self, file: str, text: str) -> None:
        self.file = file
        self._lines: dict[tuple[str, str], int] = {}
        section = ''
        for number, line in enumerate(text.splitlines(), start=1):
            if found := self._SECTION.match(line):
                section = found['name'].strip()
                self._lines.setdefault((section, ''), number)
            elif found := self._OPTION.match(line):
                key = (section, found['name'].strip().lower())
                self._lines.setdefault(key, number)

    def find(self, section: str = '', option: str = '') -> Place:
        """Return the place of an option, else of its section."""
        line = self._lines.get((section, option))
        if line is None:
            line = self._lines.get((section, ''), 0)
        return Place(self.file, line, section, option)


class Collector:
    """Collects findings, then raises all of them at once."""

    def __init__(self, title: str) -> None:
        self._title = title
        self._findings: list[Finding] = []

    def add(self, place: Place, text: str) -> None:
        """Note one finding."""
        self._findings.append(Finding(place, text))

    def add_validation(
        self, places: Places, section: str, error: pydantic.ValidationError
    ) -> None:
        """Note every error of a model that read one section."""
        for detail in error.errors():
            option = str(detail['loc'][0]) if detail['loc'] else ''
            text = detail['msg']
            if 'input' in detail and detail['type'] != 'missing':
                text = f'{text}, not {detail["input"]!r}'
            self.add(places.find(section, option.replace('_', '-')), text)

    def raise_if_any(self) -> None:
        """Raise ``InvalidInput`` with all findings, if there are any."""
        if self._findings:
            raise exceptions.InvalidInput(self._title, self._findings)


def read_ini(
    file: str, text: str, collector: Collector
) -> configparser.ConfigParser:
    """Parse INI text; a syntax error becomes a finding.

    Parameters
    ----------
    file : str
        The name to report findings under.
    text : str
        The INI text.
    collector : Collector
        Where findings go.

    Returns
    -------
    configparser.ConfigParser
        What could be parsed; empty after a syntax error.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        line = getattr(error, 'lineno', 0) or 0
        if errors := getattr(error, 'errors', None):
            line = errors[0][0]
        message = str(error).splitlines()[0]
        collector.add(Place(file, line), message)
        return configparser.ConfigParser(interpolation=None)
    return parser

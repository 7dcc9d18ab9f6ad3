"""Findings in settings and catalogue files, reported together."""

import configparser
import dataclasses
import pathlib
import re
import sys
import typing as t

import pydantic

from persimmonsail import exceptions


class Finding(exceptions.PersimmonsailError):
    """One error in a file, with its location and what is allowed."""

    def __init__(self, location: 'Location', text: str) -> None:
        super().__init__(f'{location}: {text}')
        self.location = location
        self.text = text


@dataclasses.dataclass(frozen=True)
class Location:
    """Location of a finding; lines count from one, zero is unknown."""

    file: str
    line: int = 0
    section: str = ''
    option: str = ''

    def __str__(self) -> str:
        file = f'{self.file}:{self.line}' if self.line else self.file
        section = f' [{self.section}]' if self.section else ''
        option = f' {self.option}' if self.option else ''
        return f'{file}{section}{option}'


@dataclasses.dataclass(frozen=True)
class Duplicate:
    """A section or option that occurs a second time."""

    location: Location
    first_line: int


class LineIndex:
    """Index of the lines of sections and options in INI text."""

    _SECTION = re.compile(r'^\[(?P<name>[^]]+)\]')
    _OPTION = re.compile(r'^(?P<name>[^\s=:#;\[][^=:]*?)\s*[=:]')

    def __init__(self, file: str, text: str) -> None:
        self.file = file
        self.duplicates: list[Duplicate] = []
        self._lines: dict[str, dict[str, int]] = {}
        section = ''
        for number, line in enumerate(text.split('\n'), start=1):
            if found := self._SECTION.match(line):
                section = found['name']
                self._add_line(section, '', number)
            elif found := self._OPTION.match(line):
                name = _intern_lower(found['name'].strip())
                self._add_line(section, name, number)

    def _add_line(self, section: str, option: str, number: int) -> None:
        lines = self._lines.setdefault(section, {})
        first = lines.setdefault(option, number)
        if first != number:
            location = Location(self.file, number, section, option)
            self.duplicates.append(Duplicate(location, first))

    def find(self, section: str = '', option: str = '') -> Location:
        """Return the location of an option, else of its section."""
        lines = self._lines.get(section, {})
        line = lines.get(option, lines.get('', 0))
        return Location(self.file, line, section, option)


class Collector:
    """Collects findings and raises them as one group."""

    def __init__(self, title: str) -> None:
        self._title = title
        self._findings: list[Finding] = []

    def add(self, location: Location, text: str) -> None:
        """Add one finding."""
        self._findings.append(Finding(location, text))

    def add_validation_errors(
        self,
        line_index: LineIndex,
        section: str,
        error: pydantic.ValidationError,
        model: type[pydantic.BaseModel],
    ) -> None:
        """Add every error of one section's validation."""
        for detail in error.errors():
            option = str(detail['loc'][0]) if detail['loc'] else ''
            option = option.replace('_', '-')
            self.add(
                line_index.find(section, option),
                _describe_error(detail, model),
            )

    def raise_if_any(self) -> None:
        """Raise ``InvalidInput`` with all findings, if there are any."""
        if self._findings:
            raise exceptions.InvalidInput(self._title, self._findings)


def _describe_error(
    detail: t.Mapping[str, t.Any], model: type[pydantic.BaseModel]
) -> str:
    if detail['type'] == 'extra_forbidden':
        allowed = sorted(
            field.alias or name.replace('_', '-')
            for name, field in model.model_fields.items()
        )
        return f'unknown option; allowed: {", ".join(allowed)}'
    if detail['type'] == 'missing':
        return 'option is missing; it is required'
    return f'{detail["msg"]}, not {detail["input"]!r}'


def read_text(path: pathlib.Path) -> str:
    """Return a file's text.

    Raises
    ------
    persimmonsail.exceptions.InvalidInput
        If it is not UTF-8.
    OSError
        If it can't be read.
    """
    data = path.read_bytes()
    try:
        return data.decode('utf-8').replace('\r\n', '\n')
    except UnicodeDecodeError as error:
        line = data.count(b'\n', 0, error.start) + 1
        collector = Collector(f'text in {path}')
        collector.add(
            Location(str(path), line),
            f'byte 0x{data[error.start]:02x} is not UTF-8; allowed: UTF-8',
        )
        collector.raise_if_any()
        raise


def read_ini(
    file: str, text: str, collector: Collector
) -> configparser.ConfigParser:
    """Parse INI text; syntax errors become findings.

    A line with a syntax error is skipped, so that the rest of the file
    is checked in the same run.

    Parameters
    ----------
    file : str
        File name to report in findings.
    text : str
        The INI text.
    collector : Collector
        Receives the findings.

    Returns
    -------
    configparser.ConfigParser
        The sections and options that could be parsed.
    """
    for duplicate in LineIndex(file, text).duplicates:
        kind = 'option' if duplicate.location.option else 'section'
        collector.add(
            duplicate.location,
            f'{kind} stands in line {duplicate.first_line} too; allowed: once',
        )
    while True:
        parser = _make_parser()
        try:
            parser.read_string(text, file)
        except configparser.MissingSectionHeaderError as error:
            numbers = [error.lineno]
        except configparser.ParsingError as error:
            numbers = [number for number, _ in error.errors]
        else:
            return parser
        lines = text.split('\n')
        for number in numbers:
            collector.add(
                Location(file, number),
                f'syntax error at {lines[number - 1].strip()!r}; allowed: '
                '[section], then option = value, or a comment after ; or #',
            )
            lines[number - 1] = ''
        text = '\n'.join(lines)


def _make_parser() -> configparser.ConfigParser:
    # No line can contain this name, so that [DEFAULT] is not special.
    parser = configparser.ConfigParser(
        interpolation=None, strict=False, default_section='\n'
    )
    parser.optionxform = _intern_lower
    return parser


def _intern_lower(option: str) -> str:
    # A large catalogue repeats a few option names thousands of times.
    return sys.intern(option.lower())

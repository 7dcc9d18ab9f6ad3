import pathlib
import re

import pydantic_core

from persimmonsail import settings
from tests import base

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
SECTIONS = {
    'entry': ('process', 'store', 'entry', 'links'),
    'sidecar': ('process', 'sidecar', 'links'),
}
# Options whose value in the examples is arbitrary.
ARBITRARY_OPTIONS = {
    'name',
    'region',
    'zone',
    'rack',
    'control',
    'http',
    'address',
}


def read_sections(text: str) -> dict[str, list[str]]:
    """Return the lines of each section."""
    sections: dict[str, list[str]] = {}
    lines: list[str] = []
    for line in text.splitlines():
        if found := re.fullmatch(r'\[(.+)\]', line):
            lines = sections.setdefault(found[1], [])
        lines.append(line)
    return sections


class ExamplesTest(base.TestCase):
    def read(self, role: str) -> str:
        return (EXAMPLES / f'{role}.ini').read_text(encoding='utf-8')

    def find_model(self, section: str) -> type[settings.Section]:
        return getattr(settings, section.capitalize())

    def test_every_example_is_valid_for_its_role(self):
        for role in SECTIONS:
            found = settings.parse(f'{role}.ini', self.read(role), role)
            self.assertIsNotNone(found.process)

    def test_every_option_is_present_and_documented(self):
        """An operator can find an option in the source only."""
        for role, names in SECTIONS.items():
            sections = read_sections(self.read(role))
            self.assertEqual(names, tuple(sections))
            for name in names:
                self.check_section(role, name, sections[name])

    def check_section(self, role, name, lines):
        for field, field_info in self.find_model(name).model_fields.items():
            option = field.replace('_', '-')
            matches = [
                number
                for number, line in enumerate(lines)
                if re.match(rf'{option} = \S', line)
            ]
            location = f'{role}.ini [{name}] {option}'
            self.assertEqual(1, len(matches), location)
            self.assertTrue(lines[matches[0] - 1].startswith('; '), location)
            if option not in ARBITRARY_OPTIONS:
                value = lines[matches[0]].partition(' = ')[2]
                self.check_default(location, field_info.default, value)

    def check_default(self, location, default, value):
        if default not in (None, pydantic_core.PydanticUndefined):
            self.assertEqual(str(default), value, location)

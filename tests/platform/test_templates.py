"""The deploy file's settings templates render to settings that load."""

import pathlib
import re
import tomllib

from persimmonsail import settings as settings_module
from tests import base

ROOT = pathlib.Path(__file__).parents[2]
SECTION = re.compile(r'\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n', re.DOTALL)
VALUE = re.compile(r'\{\{([\w.]+)\}\}')
# Values as the platform fills them in, under its documented names.
FIELDS = {
    'node': 'edge-a-1',
    'region': 'north',
    'zone': 'hall-a',
    'ip': '10.0.0.1',
    'portRange.0': '7000',
    'listen.front': '10.0.0.1:8161',
    'listen.readiness': '10.0.0.1:8167',
    'listen.control': '10.0.0.1:8166',
    'app': '10.0.0.1:9000',
    'platform.address': '10.0.0.7:8169',
    'limits.cores': '2',
    'limits.cpuShare': '0.537',
    'advisor': '10.0.0.9:8169',
}


def render(text, fields):
    def fill_section(match):
        value = fields.get(match[1])
        return match[2].replace('{{.}}', value) if value else ''

    text = SECTION.sub(fill_section, text)
    return VALUE.sub(lambda match: fields[match[1]], text)


class TemplatesTest(base.TestCase):
    """No entry starts after a deployment: its settings do not load.

    A template spelled an option differently from the settings; only the
    platform itself renders the template.
    """

    def load(self, role, fields):
        with open(ROOT / 'deploy/system.toml', 'rb') as file:
            template = tomllib.load(file)['roles'][role]['template']
        text = (ROOT / template).read_text(encoding='utf-8')
        path = self.make_directory() / 'settings.ini'
        path.write_text(render(text, fields), encoding='utf-8')
        return settings_module.load(path, role).jobs

    def test_every_template_loads_with_all_fields(self):
        jobs = self.load('entry', FIELDS)
        self.assertEqual(FIELDS['advisor'], jobs.advisor)
        self.assertAlmostEqual(1.074, jobs.cores)
        jobs = self.load('sidecar', FIELDS)
        self.assertEqual(FIELDS['app'], jobs.worker)

    def test_options_of_missing_fields_are_omitted(self):
        missing = ('advisor', 'limits.cores', 'limits.cpuShare')
        fields = {k: v for k, v in FIELDS.items() if k not in missing}
        jobs = self.load('entry', fields)
        self.assertIsNone(jobs.advisor)
        self.assertIsNone(jobs.cores)

from persimmonsail.catalogues import catalogue
from persimmonsail import exceptions
from persimmonsail import findings
from persimmonsail import settings
from tests import base

GOOD = """\
[team tallowford]
objective = tail-latency
cores = 10
memory-gb = 10

[workload wire-cut]
owner = tallowford
class = latency-critical
cores = 1
memory-gb = 1
"""

BAD = """\
cores = 3
[team tallowford]
objective = fastest
cores = 10
memory-gb = 10
cores = 11
what is this

[workload wire-cut]
owner = nobody
class = interactive
cores = -1
colour = red

[workload wire-cut]
timeout = 3

[workload  wire-cut]
owner = tallowford
class = batch
cores = 1
memory-gb = 1

[wrkload other]
cores = 1

[DEFAULT]
cores = 1
"""

EXPECTED = (
    ('c.ini:1', 'syntax error', 'allowed: [section]'),
    ('c.ini:3 [team tallowford] objective', "'tail-latency' or 'throughput'"),
    ('c.ini:6 [team tallowford] cores', 'line 4 too; allowed: once'),
    ('c.ini:7', "syntax error at 'what is this'"),
    ('c.ini:10 [workload wire-cut] owner', 'allowed: tallowford'),
    ('c.ini:11 [workload wire-cut] class', "'batch' or 'watcher'"),
    ('c.ini:12 [workload wire-cut] cores', 'greater than 0'),
    ('c.ini:9 [workload wire-cut] memory-gb', 'required'),
    ('c.ini:13 [workload wire-cut] colour', 'allowed: accelerators, class'),
    ('c.ini:15 [workload wire-cut]', 'section stands in line 9 too'),
    (
        'c.ini:18 [workload  wire-cut]',
        'already defined as [workload wire-cut]',
    ),
    ('c.ini:24 [wrkload other]', '[team NAME] or [workload NAME]'),
    ('c.ini:27 [DEFAULT]', '[team NAME] or [workload NAME]'),
)


class CatalogueTest(base.TestCase):
    def list_findings(self, parse, *arguments):
        error = self.assertRaises(exceptions.InvalidInput, parse, *arguments)
        return [str(finding) for finding in error.exceptions]

    def test_reads_teams_and_workloads(self):
        found = catalogue.parse('c.ini', GOOD)
        self.assertEqual(['tallowford'], list(found.teams))
        self.assertEqual('tallowford', found.workloads['wire-cut'].owner)

    def test_reports_all_findings_with_location_and_allowed_values(self):
        texts = self.list_findings(catalogue.parse, 'c.ini', BAD)
        for location, *parts in EXPECTED:
            self.assertTrue(
                any(
                    text.startswith(f'{location}: ')
                    and all(part in text for part in parts)
                    for text in texts
                ),
                f'{location} {parts} not in {texts}',
            )
        self.assertEqual(len(EXPECTED), len(texts), texts)

    def test_owner_without_any_team(self):
        text = GOOD.partition('\n\n')[2]
        texts = self.list_findings(catalogue.parse, 'c.ini', text)
        self.assertEqual(
            [
                'c.ini:2 [workload wire-cut] owner: no [team tallowford] in '
                'this catalogue; allowed: none is defined'
            ],
            texts,
        )

    def test_file_that_is_not_utf_8(self):
        path = self.make_directory() / 'c.ini'
        path.write_bytes(b'[team a]\n; caf\xe9\n')
        self.assertEqual(
            [f'{path}:2: byte 0xe9 is not UTF-8; allowed: UTF-8'],
            self.list_findings(findings.read_text, path),
        )

    def test_text_over_a_megabyte(self):
        text = GOOD + '; x\n' * 250_001
        (found,) = self.list_findings(catalogue.parse, 'c.ini', text)
        self.assertIn(f'more than {catalogue.MAX_BYTES} bytes', found)

    def test_settings_name_the_allowed_store_kinds(self):
        text = (
            '[process]\nname = a\nregion = r\nzone = z\n'
            '[store]\nkind = etch\naddress = 127.0.0.1:1\n'
        )
        self.assertEqual(
            [
                "e.ini:6 [store] kind: unknown kind 'etch'; "
                'allowed: http, platform'
            ],
            self.list_findings(settings.parse, 'e.ini', text, 'entry'),
        )

import pathlib

from tests import base
from tools import guards

ROOT = pathlib.Path(__file__).parent.parent


class GuardsTest(base.TestCase):
    def test_each_guard_pattern_occurs_exactly_once(self):
        self.assertEqual([], guards.find_mismatches(ROOT))

    def test_each_guard_has_a_unique_name_and_existing_tests(self):
        names = [guard.name for guard in guards.ALL_GUARDS]
        self.assertEqual(sorted(set(names)), sorted(names))
        for guard in guards.ALL_GUARDS:
            self.assertNotEqual((), guard.tests, guard.name)
            for test in guard.tests:
                path = ROOT / test.partition('::')[0]
                self.assertTrue(path.exists(), test)
                for part in test.split('::')[1:]:
                    self.assertIn(part, path.read_text(), test)

    def test_a_guard_without_its_source_is_reported(self):
        directory = self.make_directory()
        misfits = guards.find_mismatches(directory)
        self.assertEqual(len(guards.ALL_GUARDS), len(misfits))

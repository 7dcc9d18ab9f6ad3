import pathlib

from tests import base
from tools import guards

ROOT = pathlib.Path(__file__).parent.parent


class GuardsTest(base.TestCase):
    def test_each_guard_stands_exactly_once_in_its_file(self):
        self.assertEqual([], guards.find_mismatches(ROOT))

    def test_each_guard_has_a_name_of_its_own_and_existing_tests(self):
        names = [guard.name for guard in guards.ALL_GUARDS]
        self.assertEqual(sorted(set(names)), sorted(names))
        for guard in guards.ALL_GUARDS:
            self.assertNotEqual((), guard.tests, guard.name)
            for test in guard.tests:
                path = ROOT / test.partition('::')[0]
                self.assertTrue(path.exists(), test)
                for word in test.split('::')[1:]:
                    self.assertIn(word, path.read_text(), test)

    def test_a_guard_without_its_source_is_a_misfit(self):
        directory = self.make_directory()
        misfits = guards.find_mismatches(directory)
        self.assertEqual(len(guards.ALL_GUARDS), len(misfits))

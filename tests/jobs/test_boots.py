from persimmonsail.jobs import boots
from tests import base


class BootsTest(base.TestCase):
    def test_the_parts_of_a_name_are_recovered(self):
        for parts in (
            ('', 0),
            ('i-1', 0),
            ('i-1', 1774756760813),
            ('a@b', 0),
            ('a@7', 0),
            ('a@7', 9),
            ('@', 0),
        ):
            self.assertEqual(parts, boots.split(boots.join(*parts)))

    def test_an_agent_that_reports_no_birth_is_named_by_its_id(self):
        self.assertEqual('i-1', boots.join('i-1', 0))

    def test_two_starts_have_different_names(self):
        self.assertNotEqual(boots.join('i-1', 1), boots.join('i-1', 2))

import json

import pydantic

from persimmonsail.jobs import queues
from persimmonsail.platform import configuration
from standins import platform_deployment as deployed
from tests import base


class ConfigurationTest(base.TestCase):
    def test_a_route_becomes_a_queue(self):
        found = configuration.decode(json.dumps(deployed.CONFIGURATION))
        self.assertEqual(1, found.version)
        (queue,) = found.queues
        self.assertEqual('planner', queue.service)
        self.assertEqual(3, queue.max_attempts)
        self.assertEqual(2.0, queue.slack_factor)
        self.assertEqual(1000, queue.target_ms)
        self.assertFalse(queue.advised)

    def test_unknown_fields_are_ignored(self):
        text = json.dumps({**deployed.CONFIGURATION, 'colour': 'red'})
        self.assertEqual(1, configuration.decode(text).version)

    def test_an_unreadable_configuration_is_an_error(self):
        for text in ('', '[]', '{"routes":[]}', '{"version":"x"}'):
            self.assertRaises(
                pydantic.ValidationError, configuration.decode, text
            )


class ViewTest(base.TestCase):
    def test_a_version_never_goes_back(self):
        """A removed queue temporarily accepts jobs again.

        A delayed answer carries an earlier version.
        """
        view = queues.View()
        self.assertTrue(view.update(queues.Configuration(7)))
        self.assertFalse(view.update(queues.Configuration(3)))
        self.assertFalse(view.update(queues.Configuration(7)))
        self.assertEqual(7, view.current.version)

    def test_the_longest_matching_prefix_is_chosen(self):
        found = queues.Configuration(
            1,
            (
                queues.Queue('a', 'h', '/x/', 's'),
                queues.Queue('b', 'h', '/x/y/', 's'),
                queues.Queue('c', 'other', '/x/y/z/', 's'),
            ),
        )
        self.assertEqual('b', found.find_queue('h', '/x/y/z/1').name)
        self.assertEqual('a', found.find_queue('h', '/x/1').name)
        self.assertIsNone(found.find_queue('h', '/y/1'))

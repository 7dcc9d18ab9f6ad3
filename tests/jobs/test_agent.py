from persimmonsail.jobs import agent
from persimmonsail.jobs import worker
from tests import base


def beat(boot, sequence=1) -> worker.Heartbeat:
    return worker.Heartbeat(boot=boot, sequence=sequence, service='planner')


class AgentTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.agent = agent.Agent(None, 6.0)

    @property
    def boot(self):
        life = self.agent._life
        return life.boot if life else ''

    def test_a_late_heartbeat_ends_no_boot(self):
        """A watcher runs twice after a cut.

        A heartbeat of an earlier boot arrives after the cut, at a
        sidecar that was restarted and never knew that boot; the boot
        that runs is taken for ended, and its watcher started elsewhere.
        """
        self.agent.note_heartbeat(beat('new', 5))
        self.agent.note_heartbeat(beat('old', 9))
        self.assertEqual('new', self.boot)
        self.assertEqual([], self.agent._over)

    def test_a_successor_takes_over_once_the_boot_has_ended(self):
        self.agent.note_heartbeat(beat('first'))
        self.agent.note_heartbeat(beat('second'))
        self.agent.note_boot_over('first')
        self.assertEqual('second', self.boot)
        self.agent.note_heartbeat(beat('first', 2))
        self.assertEqual('second', self.boot)

    def test_an_earlier_heartbeat_changes_nothing(self):
        self.agent.note_heartbeat(beat('first', 5))
        self.agent.note_heartbeat(beat('first', 4))
        self.assertEqual(5, self.agent._life.heartbeat.sequence)

    def test_a_boot_that_left_is_not_known_any_more(self):
        self.agent.note_heartbeat(beat('first'))
        self.agent.note_boot_over('first')
        self.assertEqual('', self.boot)

from persimmonsail.jobs import fleetsnapshot
from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import placement
from persimmonsail.jobs import specification
from tests import base
from tests.jobs import cases

NOW = 100.0
SERVING = cases.make_step(
    1,
    image='shop',
    latency_target_ms=10,
    size=specification.Size(12000, 1000),
)


class PlacementTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.model = interference.Model()
        self.first = cases.make_instance('10.0.0.1:7000')
        self.second = cases.make_instance('10.0.0.2:7000')
        self.fleet = [self.first, self.second]

    def choose(self, step):
        job = cases.make_job(step)
        (task, *_) = job.waiting.values()
        snapshot = fleetsnapshot.FleetSnapshot()
        snapshot.refresh(self.fleet, self.model, NOW)
        candidates = placement.Candidates(
            snapshot,
            step,
            task.step_name,
            placement.find_usable(self.fleet, cases.QUEUE.service, NOW),
        )
        return candidates.choose(task.avoid)

    def test_only_usable_instances_get_work(self):
        for change in (
            {'leaving': True},
            {'attached': False},
            {'boot': ''},
            {'has_agent': False},
            {'silent_seconds': 2.0},
            {'suspect_until': NOW + 1},
            {'service': 'other'},
        ):
            before = {name: getattr(self.first, name) for name in change}
            for name, value in change.items():
                setattr(self.first, name, value)
            self.assertIs(self.second, self.choose(cases.make_step()), change)
            for name, value in before.items():
                setattr(self.first, name, value)

    def test_what_is_being_stopped_takes_room(self):
        """An instance must not be overcommitted while a run is stopping."""
        big = cases.make_step(1, size=specification.Size(60000, 100))
        run = cases.add_run(self.first, big)
        run.phase = instances.RunPhase.STOPPING
        cases.add_run(self.second, big, '00000000000000cc.0.0.0')
        self.assertIsNone(self.choose(big))

    def test_a_label_and_a_spread_limit_are_kept(self):
        self.second.labels = ('b', 'r1-1')
        labelled = cases.make_step(1, label='b')
        self.assertIs(self.second, self.choose(labelled))
        spread = cases.make_step(1, most_per_instance=1)
        cases.add_run(self.first, spread, f'{cases.ID}.0.0.1')
        self.assertIs(self.second, self.choose(spread))

    def test_a_serving_task_goes_beside_its_own_image(self):
        """Builds must find instances that allow their full speed.

        Every instance served every image, and each build interferes with
        one of them.
        """
        other = cases.make_step(1, image='map', latency_target_ms=10)
        cases.add_run(self.first, other)
        cases.add_run(self.second, SERVING, '00000000000000cc.0.0.0')
        self.assertIs(self.second, self.choose(SERVING))

    def test_a_best_effort_task_goes_where_nothing_serves(self):
        cases.add_run(self.first, SERVING)
        build = cases.make_step(
            1, image='build', best_effort_cpu=True, size=SERVING.size
        )
        self.assertIs(self.second, self.choose(build))

    def test_a_best_effort_task_waits_rather_than_crawl(self):
        """Builds must not stall beside watchers and end late.

        They were placed where they interfere too much to make progress.
        """
        self.fleet = [self.first]
        for i in range(4):
            cases.add_run(self.first, SERVING, f'00000000000000c{i}.0.0.0')
        build = cases.make_step(
            1,
            image='build',
            best_effort_cpu=True,
            size=specification.Size(30000, 100),
        )
        self.assertIsNone(self.choose(build))

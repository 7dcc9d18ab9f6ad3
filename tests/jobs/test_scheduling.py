from persimmonsail.jobs import advice
from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import fleetsnapshot
from persimmonsail.jobs import interference
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import record
from persimmonsail.jobs import scheduling
from persimmonsail.jobs import specification
from persimmonsail.jobs import suspects
from tests import base
from tests.jobs import cases

NOW = 100.0
WALL = 1000.0


class SchedulingTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.board = board_module.Board()
        self.model = interference.Model()
        self.approvals = advice.Approvals()
        self.snapshot = fleetsnapshot.FleetSnapshot()
        self.instance = cases.make_instance(cores=8)

    def add(self, step, id=cases.ID, age=0.0):
        job = cases.make_job(step, id=id, accepted_ms=(WALL - age) * 1000)
        self.board.add(job)
        return job

    def plan(self, now=NOW, round_interval=0.0):
        return cases.plan(
            self.board,
            self.snapshot,
            [self.instance],
            now,
            WALL,
            model=self.model,
            approvals=self.approvals,
            round_interval=round_interval,
        )

    def test_an_instance_is_never_filled_beyond_its_size(self):
        self.add(cases.make_step(20))
        self.assertEqual(8, len(self.plan()))
        self.assertEqual(0, self.instance.free.millicores)
        self.assertEqual([], self.plan())

    def test_a_queue_that_was_removed_is_not_waited_for(self):
        job = self.add(cases.make_step(1))
        job.queue = 'removed'
        self.assertEqual([], self.plan())

    def test_a_refused_start_is_not_tried_in_the_same_round(self):
        job = self.add(cases.make_step(1))
        (task,) = job.waiting.values()
        task.not_before = NOW + 0.1
        self.assertEqual([], self.plan())
        self.assertEqual(1, len(self.plan(NOW + 0.2)))

    def test_a_job_runs_although_it_disturbs_everything(self):
        """A build must not stay idle for 3 s on a half-empty fleet.

        It interferes with an image that every instance serves, so no
        instance allows its full speed, and it waits for a better one.
        """
        self.add_interfering_build()
        self.assertEqual([], self.plan())
        self.assertEqual([], self.plan(NOW + 1.5))
        self.assertEqual(1, len(self.plan(NOW + 2.5)))

    def test_a_slow_leader_waits_less_for_a_better_place(self):
        """A build must not stay idle for 3 s on a half-empty fleet.

        After a power failure, a leader with a tenth of a processor had
        round intervals of 0.8 to 1.4 s and took 0.5 s to start a run: builds
        that waited 2 s for a better instance started after 3.0 and 3.4 s.
        """
        self.add_interfering_build()
        self.assertEqual([], self.plan(round_interval=0.3))
        self.assertEqual([], self.plan(NOW + 0.3, round_interval=0.8))
        self.assertEqual(1, len(self.plan(NOW + 1.1, round_interval=0.8)))

    def add_interfering_build(self):
        serving = cases.make_step(1, image='shop', latency_target_ms=10)
        for i in range(4):
            cases.add_run(self.instance, serving, f'00000000000000c{i}.0.0.0')
        size = specification.Size(6000, 100)
        self.add(
            cases.make_step(1, image='b', best_effort_cpu=True, size=size)
        )

    def test_an_occurrence_waits_for_its_time(self):
        """A recurring report must not run before its data is available.

        All occurrences used to be placed when the job was accepted.
        """
        job = job_module.Job(
            cases.ID,
            cases.QUEUE.name,
            round((WALL - 60) * 1000),
            specification.Specification(
                'payload',
                (cases.make_step(2),),
                occurrences=3,
                first_ms=round(WALL * 1000) - 100,
                interval_ms=1000,
            ),
        )
        self.board.add(job)
        claims = self.plan()
        self.assertEqual({0}, {claim.task.key.occurrence for claim in claims})
        # Its objective counts from its due time, not from the acceptance.
        self.assertGreater(claims[0].run.due_at, NOW)
        for claim in claims:
            self.instance.drop_run((claim.run.task, claim.run.number))
        claims = cases.plan(
            self.board,
            self.snapshot,
            [self.instance],
            NOW + 1,
            WALL + 1,
            model=self.model,
            approvals=self.approvals,
        )
        self.assertEqual({1}, {claim.task.key.occurrence for claim in claims})

    def add_gang(self, count, id=cases.ID, **fields):
        return self.add(cases.make_step(count, gang=True, **fields), id)

    def test_a_gang_is_placed_as_a_whole_or_not_at_all(self):
        """Tasks of a simulation must not wait for each other in vain.

        With capacity for some of them only, those held it until they timed
        out.
        """
        self.add_gang(9)
        self.assertEqual([], self.plan())
        self.assertEqual(8000, self.instance.free.millicores)
        self.add_gang(8, id='00000000000000ab')
        claims = self.plan()
        self.assertEqual(8, len(claims))
        self.assertEqual({1}, {claim.run.number for claim in claims})

    def test_room_is_kept_for_a_gang_that_waits(self):
        """A gang of eight tasks must not starve on a busy instance.

        Single tasks ended one by one, and each time another single task,
        though less urgent, took the processor that became free.
        """
        single = cases.make_step(1)
        running = [
            cases.add_run(self.instance, single, f'00000000000000c{i}.0.0.0')
            for i in range(8)
        ]
        self.add_gang(8)
        later = self.add(cases.make_step(20), id='00000000000000ac')
        self.assertEqual([], self.plan())
        for i, run in enumerate(running):
            self.instance.drop_run((run.task, run.number))
            claims = self.plan(NOW + 1.1 + 0.1 * i)
            self.assertEqual(8 if i == 7 else 0, len(claims))
        self.assertEqual(0, later.placed_count)

    def test_no_room_is_kept_for_a_gang_that_can_never_fit(self):
        """An unplaceable gang must not block a half-empty fleet.

        Capacity was reserved for a gang that exceeds what the fleet has
        beside its watchers, which never end.
        """
        watcher = cases.make_step(1, long_running=True)
        cases.add_run(self.instance, watcher)
        self.add_gang(8)
        self.add(cases.make_step(3), id='00000000000000ac')
        self.assertEqual(3, len(self.plan(NOW)))
        self.add(cases.make_step(3), id='00000000000000ad')
        self.assertEqual(3, len(self.plan(NOW + 1.5)))

    def test_who_waits_long_takes_room_that_is_kept(self):
        """A job must not starve behind gangs that need all capacity.

        New gangs arrive continuously, each as urgent as the previous one.
        """
        cases.add_run(self.instance, cases.make_step(1))
        self.add_gang(8)
        self.add(cases.make_step(1), id='00000000000000ac')
        self.instance.leaving = True
        self.assertEqual([], self.plan())
        self.instance.leaving = False
        self.assertEqual([], self.plan(NOW + 1.5))
        self.assertEqual(1, len(self.plan(NOW + 2.5)))

    def test_a_broken_gang_waits_for_its_last_member(self):
        """A gang must restart together after one of its tasks has failed.

        The other tasks' ends arrived later, so some of them had started
        their next run under a different number than the rest.
        """
        job = self.add_gang(3)
        claims = self.plan()
        for claim in claims:
            key = (claim.run.task, claim.run.number)
            self.assertEqual([], self.plan())
            self.instance.drop_run(key)
            self.board.note_end(
                claim.task, 1, board_module.End.BROKEN, f'c{key}', 2
            )
        claims = self.plan()
        self.assertEqual({2}, {claim.run.number for claim in claims})
        saved = {task.state.checkpoint for task in job.tasks.values()}
        self.assertEqual(1, len(saved))

    def test_a_gang_goes_to_one_rack_if_it_can(self):
        other = cases.make_instance('10.0.0.2:7000', cores=6, rack='r2')
        self.instance.rack = 'r1'
        cases.add_run(self.instance, cases.make_step(1))
        self.add_gang(6, same_rack=True)
        claims = cases.plan(
            self.board,
            self.snapshot,
            [self.instance, other],
            NOW,
            WALL,
            model=self.model,
            approvals=self.approvals,
        )
        self.assertEqual(6, len(claims))
        self.assertEqual(1, len({c.instance.rack for c in claims}))

    def test_placing_leaves_the_processor_to_what_else_there_is(self):
        """Rounds must not delay lease renewals and callers.

        On a large fleet a run ends every 5 ms and triggers a round.
        """
        for duration in (0.001, 0.01, 0.05):
            pause = scheduling.choose_pause(duration, False)
            self.assertGreaterEqual(pause, 0.008)
            self.assertLessEqual(duration / (duration + pause), 0.2)

    def test_much_that_waits_is_placed_soon(self):
        """Watchers must not be down a second longer than their instances.

        After a power failure of all machines 1,500 tasks had to be placed,
        100 per round of 25 ms, and each round was followed by a pause of
        four times its duration.
        """
        rounds = 15
        pauses = rounds * scheduling.choose_pause(0.025, True)
        self.assertLess(rounds * 0.025 + pauses, 0.8)


class SmallFleetTest(base.TestCase):
    """Every kind of step, while the leader knows no instance or one."""

    STEPS = {
        'plain': {},
        'label': {'label': 'a'},
        'spread': {'most_per_instance': 1},
        'gang': {'gang': True},
        'rack': {'gang': True, 'same_rack': True},
        'data': {'data_rack': 'r1'},
        'best-effort': {'image': 'build', 'best_effort_cpu': True},
        'serving': {'image': 'shop', 'latency_target_ms': 10},
    }

    def plan(self, fleet, queue, crashes, **fields):
        """Plan a job until its tasks are placed; return all claims."""
        board = board_module.Board()
        job = cases.make_job(cases.make_step(2, **fields))
        board.add(job)
        for task in job.tasks.values():
            board.update_crashes(task, crashes)
        snapshot = fleetsnapshot.FleetSnapshot()
        approvals = advice.Approvals()
        claims = []
        for passed in range(5):
            claims += cases.plan(
                board,
                snapshot,
                fleet,
                NOW + passed,
                WALL + passed,
                queue=queue,
                approvals=approvals,
            )
        return claims

    def test_steps_wait_while_no_instance_is_known(self):
        """Each leader ends in turn while a job waits for the first one."""
        for name, fields in self.STEPS.items():
            for queue in (cases.QUEUE, cases.ADVISED):
                for count in (0, 1):
                    with self.subTest(name, advised=queue.advised):
                        crashes = record.Crashes(count=count, longest_ms=10)
                        claims = self.plan([], queue, crashes, **fields)
                        self.assertEqual([], claims)

    def test_steps_are_placed_on_the_only_instance(self):
        for name, fields in self.STEPS.items():
            for evacuated in (False, True):
                with self.subTest(name, evacuated=evacuated):
                    instance = cases.make_instance(
                        rack='r1', labels=('a', 'r1'), evacuated=evacuated
                    )
                    claims = self.plan(
                        [instance], cases.QUEUE, record.Crashes(), **fields
                    )
                    expected = 1 if name == 'spread' else 2
                    self.assertEqual(0 if evacuated else expected, len(claims))


class SuspectTest(base.TestCase):
    """A suspect runs where its crash can be attributed to it."""

    def setUp(self):
        super().setUp()
        self.board = board_module.Board()
        self.snapshot = fleetsnapshot.FleetSnapshot()
        self.fleet = [
            cases.make_instance(f'10.0.0.{i}:7000', boot=f'boot-{i}')
            for i in range(2)
        ]
        job = cases.make_job(cases.make_step(1))
        self.board.add(job)
        (self.task,) = job.tasks.values()
        self.board.update_crashes(
            self.task, record.Crashes(count=1, longest_ms=10)
        )

    def plan(self, now):
        return cases.plan(self.board, self.snapshot, self.fleet, now, WALL)

    def add_other(self, instance, observed_at, task):
        cases.add_run(
            instance, cases.make_step(), task, observed_at=observed_at
        )

    def add_suspects(self, count):
        """Add suspects that have waited long for instances of their own."""
        job = cases.make_job(cases.make_step(count), id='00000000000000ee')
        self.board.add(job)
        for task in job.tasks.values():
            self.board.update_crashes(
                task, record.Crashes(count=1, longest_ms=10)
            )
            task.isolation_wait_since = NOW - 5.0

    def test_a_quiet_instance_is_preferred(self):
        self.add_other(self.fleet[0], NOW - 0.2, '00000000000000bb.0.0.0')
        for index in range(3):
            name = f'00000000000000cc.0.0.{index}'
            self.add_other(self.fleet[1], NOW - 9.0, name)
        (claim,) = self.plan(NOW)
        self.assertIs(self.fleet[1], claim.instance)

    def test_where_nothing_is_quiet_an_instance_becomes_so_first(self):
        """A suspect must not be blamed for another task's crash.

        All instances had just restarted their tasks. A suspect that started
        with them was blamed when a new faulty task crashed the agent.
        """
        for index, instance in enumerate(self.fleet):
            name = f'00000000000000bb.0.0.{index}'
            self.add_other(instance, NOW - 0.2, name)
        self.assertEqual([], self.plan(NOW))
        (cleared,) = [one for one in self.fleet if one.is_reserved(NOW)]
        other = cases.make_job(cases.make_step(4), id='00000000000000dd')
        self.board.add(other)
        claims = self.plan(NOW + 0.3)
        self.assertEqual(4, len(claims))
        self.assertNotIn(cleared, [claim.instance for claim in claims])
        (claim,) = self.plan(NOW + 0.9)
        self.assertIs(cleared, claim.instance)
        self.assertIs(self.task, claim.task)

    def test_an_instance_that_finds_no_quiet_is_used_again(self):
        """An unanswered start must not reserve its instance forever."""
        for instance in self.fleet:
            name = f'00000000000000bb.0.0.{instance.boot[-1]}'
            self.add_other(instance, 0.0, name)
        for passed in (0.0, 0.5, 1.0, 1.5):
            self.assertEqual([], self.plan(NOW + passed))
        self.assertTrue(any(one.is_reserved(NOW) for one in self.fleet))
        later = NOW + 2.1
        self.assertFalse(any(one.is_reserved(later) for one in self.fleet))

    def test_a_suspect_waits_for_a_witness(self):
        """Without a surviving instance, its crash looks like a power loss."""
        self.fleet[1].silent_seconds = 2.0
        self.assertEqual([], self.plan(NOW))
        self.fleet[1].silent_seconds = 0.0
        (claim,) = self.plan(NOW + 0.1)
        self.assertIs(self.task, claim.task)

    def test_a_suspect_does_not_wait_for_an_unreachable_witness(self):
        self.fleet[1].silent_seconds = 60.0
        (claim,) = self.plan(NOW)
        self.assertIs(self.fleet[0], claim.instance)

    def test_suspects_are_placed_before_other_tasks(self):
        """Other tasks kept starting on the instances that suspects needed."""
        other = cases.make_job(cases.make_step(60), id='0' * 16)
        self.board.add(other)
        claims = self.plan(NOW)
        self.assertIs(self.task, claims[0].task)
        addresses = {claim.instance.address for claim in claims[1:]}
        self.assertNotIn(claims[0].instance.address, addresses)

    def test_other_suspects_do_not_move_a_suspects_wait(self):
        """An innocent waits without end, as others are always tried."""
        self.fleet[0].reserved_for = '00000000000000bb.0.0.0'
        self.fleet[0].reserved_until = NOW + 60.0
        for passed in (0.0, 1.0, 2.0, 3.0):
            self.assertEqual([], self.plan(NOW + passed))
        (claim,) = self.plan(NOW + 3.1)
        self.assertIs(self.task, claim.task)

    def test_lasting_tasks_of_one_crash_run_again_in_time(self):
        """The last of twelve tasks is away for 14 s, as each is tried alone.

        They had just begun on one instance when its agent crashed.
        """
        self.fleet.append(
            cases.make_instance('10.0.0.2:7000', boot='boot-2', cores=64)
        )
        job = cases.make_job(
            cases.make_step(12, long_running=True), id='00000000000000ee'
        )
        self.board.add(job)
        for task in job.tasks.values():
            self.board.update_crashes(
                task, record.Crashes(count=1, longest_ms=300)
            )
        for number in range(20):
            now = NOW + 0.25 * number
            for claim in self.plan(now):
                claim.run.observed_at = now
        self.assertEqual({}, job.waiting)

    def test_few_suspects_are_tried_together(self):
        """All that crashed with a bad task start with it and crash again."""
        self.board.forget(self.task.job.id)
        self.add_suspects(10)
        self.fleet[1].reserved_for = self.task.name
        self.fleet[1].reserved_until = NOW + 60.0
        claims = self.plan(NOW)
        self.assertEqual(suspects.MAX_BATCH, len(claims))
        for claim in claims:
            claim.run.observed_at = NOW
        self.assertEqual([], self.plan(NOW + 0.4))
        self.assertEqual(suspects.MAX_BATCH, len(self.plan(NOW + 1.2)))

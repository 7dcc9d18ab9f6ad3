from persimmonsail import exceptions
from persimmonsail.jobs import specification
from tests import base
from tests.jobs import cases


class SpecificationTest(base.TestCase):
    def test_it_is_read_back_as_it_was_written(self):
        found = specification.Specification(
            'payload',
            (
                cases.make_step(2, image='a', latency_target_ms=5),
                cases.make_step(1, after=(0,), best_effort_cpu=True),
            ),
        )
        decoded = specification.decode(specification.encode(found))
        self.assertEqual(found, decoded)

    def test_all_findings_are_named_with_their_places(self):
        found = specification.Specification(
            'x' * 4001,
            (
                cases.make_step(0, after=(1,)),
                cases.make_step(1, after=(0, 1), gang=True),
                cases.make_step(1, size=specification.Size(-1)),
            ),
        )
        error = self.assertRaises(
            exceptions.JobInvalid, specification.check, found
        )
        text = str(error)
        for expected in (
            'payload: more than 4000 bytes',
            'steps[0].count: below 1',
            'steps[0].after: 1 is no earlier step',
            'steps[1].after: 1 is no earlier step',
            'steps[2].millicores: below 0',
        ):
            self.assertIn(expected, text)

    def test_occurrences_are_due_one_after_the_other(self):
        found = specification.Specification(
            '', (cases.make_step(2),), 3, first_ms=5000, interval_ms=700
        )
        specification.check(found)
        self.assertEqual(6, found.task_count)
        due = [found.find_due_ms(number) for number in range(3)]
        self.assertEqual([5000, 5700, 6400], due)

    def test_too_many_occurrences_are_refused(self):
        found = specification.Specification(
            '', (cases.make_step(10),), 1000, interval_ms=-1
        )
        error = self.assertRaises(
            exceptions.JobInvalid, specification.check, found
        )
        self.assertIn('more than 5000 tasks', str(error))
        self.assertIn('interval_ms: below 0', str(error))

    def test_the_critical_path_is_the_longest_chain(self):
        found = specification.Specification(
            '',
            (
                cases.make_step(1, estimate_ms=100),
                cases.make_step(1, estimate_ms=500),
                cases.make_step(1, estimate_ms=300, after=(0,)),
                cases.make_step(1, estimate_ms=200, after=(1, 2)),
            ),
        )
        self.assertEqual(700, found.critical_path_ms)

    def test_best_effort_tasks_commit_no_processors(self):
        step = cases.make_step(1, best_effort_cpu=True)
        self.assertEqual(specification.Size(0, 100), step.committed)

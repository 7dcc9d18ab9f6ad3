import json

from persimmonsail import exceptions
from persimmonsail.jobs import specification
from persimmonsail.platform import submissions
from tests import base


def encode(**fields) -> bytes:
    return json.dumps(fields).encode()


class SubmissionsTest(base.TestCase):
    def test_every_field_is_decoded(self):
        found = submissions.decode(
            encode(
                spec='payload',
                phases=[
                    {'count': 1},
                    {
                        'count': 3,
                        'cpu': 500,
                        'memMb': 256,
                        'gpu': 1,
                        'estimateMs': 900,
                        'after': [0],
                        'checkpointing': True,
                        'selector': 'b',
                        'affinity': 'r1-3',
                        'maxPerServer': 2,
                        'speculative': True,
                        'longRunning': True,
                        'image': 'shop',
                        'targetMs': 18,
                        'fillCount': True,
                        'disruptionBudget': 1,
                    },
                ],
            )
        )
        self.assertEqual('payload', found.payload)
        self.assertEqual(
            specification.Step(
                count=3,
                size=specification.Size(500, 256, 1),
                estimate_ms=900,
                after=(0,),
                checkpoints=True,
                label='b',
                data_rack='r1-3',
                most_per_instance=2,
                speculative=True,
                long_running=True,
                image='shop',
                latency_target_ms=18,
                best_effort_cpu=True,
                disruption_budget=1,
            ),
            found.steps[1],
        )

    def check_invalid(self, body: bytes, *expected: str):
        error = self.assertRaises(
            exceptions.JobInvalid, submissions.decode, body
        )
        for text in expected:
            self.assertIn(text, str(error))

    def test_each_wrong_field_is_named_with_its_path(self):
        self.check_invalid(
            encode(phases=[{'count': 'x'}, {'cpu': -1, 'colour': 3}]),
            'phases.0.count',
            'phases.1.colour',
        )

    def test_a_body_that_is_not_an_object_is_refused(self):
        for body in (b'', b'[]', b'{', b'\xff', b'null'):
            self.check_invalid(body)

    def test_forward_references_and_cycles_are_refused(self):
        self.check_invalid(
            encode(
                phases=[
                    {'count': 1, 'after': [1]},
                    {'count': 1, 'after': [0]},
                ]
            ),
            'steps[0].after: 1 is no earlier step',
        )

    def test_a_job_without_steps_or_with_too_many_tasks_is_refused(self):
        self.check_invalid(encode(phases=[]), 'steps: not between')
        self.check_invalid(encode(phases=[{'count': 10**6}]), 'tasks together')

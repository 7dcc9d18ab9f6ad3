import contextlib
import io

from persimmonsail.auditing import explanation
from persimmonsail import cli
from persimmonsail import exits
from persimmonsail import logs
from tests import base

JOB = '3a785f93fa34c516'
TASK = f'{JOB}.0.0.0'


class ExplanationTest(base.TestCase):
    """Explains a job from its id and the logs only."""

    def write(self, *events):
        """Write one log file per process."""
        directory = self.make_directory()
        lines = {}
        for at, process, name, fields in events:
            line = logs.format_line(
                {
                    'time': f'{1000 + at:.6f}',
                    'level': 'info',
                    'process': process,
                    'event': name,
                    **fields,
                }
            )
            lines.setdefault(process, []).append(line)
        paths = []
        for process, texts in lines.items():
            path = directory / f'{process}.log'
            path.write_text('\n'.join(texts) + '\n', encoding='utf-8')
            paths.append(path)
        return paths

    def explain(self, *events):
        case = explanation.read_case(JOB, self.write(*events))
        return [
            (cause.text, cause.event.name)
            for cause in explanation.find_causes(case)
        ]

    def test_a_refused_job_names_the_loss_of_the_store(self):
        refused = {'call': 'submit', 'job': JOB, 'outcome': 'refused'}
        causes = self.explain(
            (1, 'entry-2', 'store-lost', {'error': 'other'}),
            (3, 'entry-1', 'store-lost', {'error': 'ReadTimeout'}),
            (5, 'entry-1', 'job-call', refused),
            (6, 'entry-1', 'store-regained', {}),
        )
        ((text, event),) = causes
        self.assertIn('lost the store 2.0 s before (ReadTimeout)', text)
        self.assertEqual('store-lost', event)

    def test_a_store_that_had_recovered_explains_nothing(self):
        refused = {'call': 'submit', 'job': JOB, 'outcome': 'refused'}
        causes = self.explain(
            (3, 'entry-1', 'store-lost', {'error': 'ReadTimeout'}),
            (4, 'entry-1', 'store-regained', {}),
            (9, 'entry-1', 'job-call', refused),
        )
        self.assertEqual([], causes)

    def test_a_failed_job_is_distinguished_from_a_bad_instance(self):
        failed = {'task': TASK, 'how': 'failed'}
        phase = (4, 'entry-1', 'job-phase', {'job': JOB, 'phase': 'failed'})
        ends = [
            (n, 'entry-1', 'run-ended', {**failed, 'instance': instance})
            for n, instance in enumerate(('a:1', 'b:1', 'c:1'))
        ]
        ((text, _),) = self.explain(*ends, phase)
        self.assertIn('3 times on 3 instances: the job is to blame', text)
        ((text, _),) = self.explain(*ends[:1], phase)
        self.assertIn('inspect that instance', text)

    def test_a_task_that_crashes_its_agents_is_named(self):
        """A job failed although none of its runs ended as failed."""
        crash = {'task': TASK, 'seconds': 0.01}
        causes = self.explain(
            (1, 'entry-1', 'crash-counted', {**crash, 'instance': 'a:1'}),
            (2, 'entry-1', 'crash-counted', {**crash, 'instance': 'b:1'}),
            (3, 'entry-1', 'crash-counted', {**crash, 'instance': 'b:1'}),
            (
                4,
                'entry-1',
                'job-given-up',
                {'job': JOB, 'task': TASK, 'crashes': 3},
            ),
        )
        ((text, event),) = causes
        self.assertIn('crashed 3 agents that started it, on 2 inst', text)
        self.assertEqual('job-given-up', event)

    def test_a_job_that_cannot_be_planned_names_the_error(self):
        """A job waits for good, as no line says why it is not planned."""
        failed = {'job': JOB, 'error': 'ValueError()', 'place': 'order:7'}
        line = (1, 'entry-1', 'job-set-aside', failed)
        ((text, _),) = self.explain(line)
        self.assertIn('fails with ValueError() at order:7', text)
        again = (2, 'entry-2', 'job-planned-again', {'job': JOB})
        self.assertEqual([], self.explain(line, again))

    def test_a_late_job_names_all_causes_of_its_delay(self):
        causes = self.explain(
            (0, 'entry-2', 'leading', {'epoch': 9}),
            (1, 'entry-2', 'job-seen', {'job': JOB, 'age_ms': 2500}),
            (4, 'entry-2', 'placed', {'task': TASK, 'run': 1}),
            (5, 'entry-2', 'paced', {'task': TASK, 'percent': 0}),
            (6, 'entry-2', 'evicted', {'task': TASK, 'reason': 'starved'}),
            (8, 'entry-2', 'run-lost', {'task': TASK, 'instance': 'a:1'}),
            (9, 'entry-2', 'job-phase', {'job': JOB, 'phase': 'complete'}),
        )
        self.assertEqual(
            [
                ('late: no leader observed it for 2.5 s', 'leading'),
                ('late: 1 runs were lost with a:1', 'run-lost'),
                (
                    'late: tasks were stopped 1 times and moved 1 times for '
                    'what serves beside them',
                    'evicted',
                ),
                ('late: it waited 3.0 s for its first placement', 'placed'),
            ],
            causes,
        )

    def run_command(self, *arguments):
        out, errors = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(errors),
        ):
            code = cli.main(['explain', *map(str, arguments)])
        return code, out.getvalue(), errors.getvalue()

    def test_the_command_prints_the_history_and_the_deciding_line(self):
        paths = self.write(
            (3, 'entry-1', 'store-lost', {'error': 'ReadTimeout'}),
            (
                5,
                'entry-1',
                'job-call',
                {'call': 'submit', 'job': JOB, 'outcome': 'unknown'},
            ),
        )
        code, out, _ = self.run_command(JOB, *paths)
        self.assertEqual(exits.OK, code)
        self.assertIn('1005.000000 entry-1 job-call', out)
        self.assertIn('cause: unknown: entry-1 had lost the store', out)
        self.assertIn('entry-1.log:1', out)

    def test_an_id_in_no_log_line_is_reported(self):
        paths = self.write((3, 'entry-1', 'starting', {}))
        code, out, errors = self.run_command('f' * 16, *paths)
        self.assertEqual(exits.INVALID_INPUT, code)
        self.assertEqual('', out)
        self.assertIn('no log line mentions', errors)

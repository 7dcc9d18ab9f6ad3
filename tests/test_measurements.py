import io

import anyio

from persimmonsail import logs
from persimmonsail import measurements
from persimmonsail import metrics
from tests import base


class MeasurementsTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.stream = io.StringIO()
        logs.configure('one', self.stream)

    def read_lines(self, metric: str) -> list[dict[str, str]]:
        lines = [
            logs.parse_line(line)
            for line in self.stream.getvalue().splitlines()
        ]
        return [line for line in lines if line.get('metric') == metric]

    def test_a_duration_is_one_line_with_its_quantiles(self):
        metrics.QUEUE_SECONDS.record(0.25, 'measured-workload')
        measurements.write_all()
        lines = [
            line
            for line in self.read_lines('persimmonsail_queue_seconds')
            if line['workload'] == 'measured-workload'
        ]
        self.assertEqual(1, len(lines))
        self.assertAlmostEqual(0.25, float(lines[0]['p99_9']), delta=0.01)
        self.assertEqual('1', lines[0]['count'])
        self.assertEqual('0.25', lines[0]['sum'])

    def test_memory_and_processor_time_are_logged(self):
        measurements.write_all()
        for name in (
            'process_resident_memory_bytes',
            'process_cpu_seconds_total',
        ):
            (line,) = self.read_lines(name)
            self.assertGreater(float(line['value']), 0)

    async def test_writes_periodically(self):
        written = anyio.Event()
        rounds = []

        def count_round():
            rounds.append(None)
            if len(rounds) == 2:
                written.set()

        self.patch(measurements, 'write_all', count_round)
        with anyio.fail_after(30):
            async with anyio.create_task_group() as group:
                group.start_soon(measurements.run, 0.001)
                await written.wait()
                group.cancel_scope.cancel()

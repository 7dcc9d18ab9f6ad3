import pathlib

import anyio
import anyio.abc
import testtools

from persimmonsail.catalogues import catalogue
from persimmonsail import links
from tests import base
from tools import slope_commands
from tools import slope_fakes
from tools import slope_fit
from tools import slope_meter
from tools import slope_series
from tools import slope_sizes


def make_fit(slope: float, intercept: float) -> slope_fit.Fit:
    points = [(x, intercept + slope * x) for x in (1, 2, 4, 8)]
    return slope_fit.fit_line(points)


class FitTest(base.TestCase):
    def test_a_straight_line_has_no_residual(self):
        fit = make_fit(0.5, 3.0)
        self.assertAlmostEqual(0.5, fit.slope)
        self.assertAlmostEqual(3.0, fit.intercept)
        self.assertAlmostEqual(0.0, fit.residual)
        self.assertAlmostEqual(53.0, fit.predict(100))
        self.assertEqual(12.5, fit.extrapolation_factor(100))

    def test_the_residual_is_in_the_unit_of_the_cost(self):
        fit = slope_fit.fit_line([(1, 2), (2, 0), (3, 0), (4, 2)])
        self.assertAlmostEqual(0.0, fit.slope)
        self.assertAlmostEqual(1.0, fit.intercept)
        self.assertAlmostEqual(1.0, fit.residual)

    def test_fewer_than_four_driver_values_give_no_slope(self):
        with testtools.ExpectedException(slope_fit.TooFewPoints):
            slope_fit.fit_line([(1, 1), (2, 2), (3, 3), (3, 3.1)])

    def test_a_miss_is_the_factor_over_the_budget(self):
        self.assertEqual(0.0, slope_fit.find_overrun(0.019, 0.019))
        self.assertAlmostEqual(3.0, slope_fit.find_overrun(0.057, 0.019))


class SizesTest(base.TestCase):
    def test_a_role_adds_its_drivers_and_one_intercept(self):
        fits = {
            ('sidecar', 'entries linked'): {'cpu': make_fit(0.001, 0.01)},
            ('sidecar', 'tasks on its instance'): {
                'cpu': make_fit(0.0001, 5.0)
            },
        }
        fleet = slope_sizes.DesignSize(
            workers=100, tasks=2000, linked_entries=4
        )
        terms = slope_sizes.ROLES['sidecar']
        value = slope_sizes.predict_role(terms, fits, fleet, 'cpu')
        self.assertAlmostEqual(0.01 + 0.004 + 0.002, value)

    def test_an_unmeasured_driver_gives_no_figure(self):
        terms = slope_sizes.ROLES['sidecar']
        fleet = slope_sizes.DesignSize()
        self.assertIsNone(slope_sizes.predict_role(terms, {}, fleet, 'cpu'))

    def test_misses_are_listed_with_their_factor(self):
        fits = {
            ('holder', 'starts a second'): {'link_bytes': make_fit(1024, 0)}
        }
        fleet = slope_sizes.DesignSize(entries=1, starts=8)
        lines = list(slope_sizes.format_sizes(fits, fleet))
        self.assertEqual(
            [
                'holder at the peak, on top | link_bytes | 8192 | 4096 '
                '| missed 2.0x'
            ],
            lines,
        )

    def test_tasks_spread_over_a_part_of_the_instances(self):
        fleet = slope_sizes.DesignSize()
        self.assertLess(fleet.spread, fleet.workers)
        self.assertGreater(fleet.spread, fleet.workers / 2)


class FakeBench:
    """Accepts requests and returns empty measurements."""

    def __init__(self):
        self.posts = 0

    async def post(self, name, workload):
        self.posts += 1

    def open_meter(self, name):
        return self

    async def measure(self, window):
        return slope_meter.Sample()


class LoadTest(base.TestCase):
    async def test_a_fake_sidecar_reports_as_the_shipped_one_does(self):
        # A series failed with a TypeError as soon as a sidecar's reports
        # included interference: the load generator created announcers
        # itself.
        proxy = slope_meter.CountingProxy()
        sidecar = slope_fakes.FakeSidecar('fake', 'piedmont-a', proxy)
        proxy.address = '127.0.0.1:1'
        with links.Links() as link_pool:
            sidecar.open_announcer(['127.0.0.1:2'], link_pool)
            self.assertEqual('fake', sidecar.announcer.describe(1).instance)

    async def test_the_holder_and_the_caller_are_measured_under_load(self):
        # The series of starts failed with a TypeError: the measuring
        # function shadowed the function it called, and called itself.
        self.patch(slope_series, 'SETTLE_SECONDS', 0.0)
        plan = slope_series.Plan(pathlib.Path())
        bench = FakeBench()
        samples = await slope_series._measure_under_load(
            bench, plan, 5, 'a', 'b'
        )
        self.assertEqual({'a', 'b'}, set(samples))

    def test_the_measured_catalogue_is_valid(self):
        text = slope_series.make_catalogue(200)
        found = catalogue.parse('slopes', text)
        self.assertEqual(200, len(found.workloads))
        self.assertEqual(slope_series.TEAMS, len(found.teams))

    async def test_the_proxy_counts_bytes_of_both_directions(self):
        async def answer(stream):
            async with stream:
                await stream.send(await stream.receive() + b'!')

        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, answer)
            target = f'127.0.0.1:{port}'
            async with slope_meter.CountingProxy(target) as proxy:
                host, _, number = proxy.address.rpartition(':')
                async with await anyio.connect_tcp(
                    host, int(number)
                ) as client:
                    await client.send(b'1234')
                    self.assertEqual(b'1234!', await client.receive())
            self.assertEqual(9, proxy.bytes)
            group.cancel_scope.cancel()

    async def test_a_rejected_command_raises(self):
        # The series of the catalogue measured rejected edits: since an
        # edit has to give its base revision, only the first point was a
        # change, and the command's exit code was not checked.
        with testtools.ExpectedException(RuntimeError, 'catalogue ended'):
            await slope_commands._measure_command(
                'catalogue', 'apply', 'missing.ini', '--store', '127.0.0.1:1'
            )

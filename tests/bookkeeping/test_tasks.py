import testtools

from persimmonsail.bookkeeping import records
from persimmonsail.bookkeeping import tasks
from persimmonsail import exceptions
from tests import base


def make_table(*items: records.Record) -> tasks.Table:
    table = tasks.Table()
    for item in items:
        table.apply(item)
    return table


def submit(task: str) -> records.Submitted:
    return records.Submitted(task, 'build', 'team', '{"seconds": 1}', 1)


class TableTest(base.TestCase):
    def test_problems_are_found_in_the_order_of_the_batch(self):
        """One caller's invalid record fails all callers of its batch."""
        table = make_table(submit('a'))
        problems = table.find_problems(
            [
                submit('a'),
                submit('b'),
                records.Claimed('b', 1, 'one'),
                records.Claimed('b', 1, 'two'),
                records.Finished('b', 1, records.TaskPhase.FAILED),
            ]
        )
        self.assertEqual(
            ['a submitted twice', '', '', 'b claimed in claimed', ''],
            problems,
        )
        self.assertEqual(['a'], list(table.tasks))

    def test_second_outcome_is_refused(self):
        """A caller reads 'unknown' first and then 'succeeded'."""
        table = make_table(
            submit('a'),
            records.Claimed('a', 1, 'one'),
            records.Finished('a', 1, records.TaskPhase.UNKNOWN),
        )
        with testtools.ExpectedException(exceptions.LedgerCorrupt):
            table.apply(records.Finished('a', 1, records.TaskPhase.SUCCEEDED))

    def test_checkpoint_is_released_once(self):
        """An evicted task resumes twice, after two reports of one end."""
        table = make_table(
            submit('a'),
            records.Claimed('a', 1, 'one'),
            records.Released('a', 1, 'evicted', 'point'),
        )
        repeated = records.Released('a', 1, 'evicted', 'point')
        self.assertEqual(
            ['a has no attempt 1'], table.find_problems([repeated])
        )
        self.assertEqual('point', table.tasks['a'].checkpoint)
        self.assertEqual(1, table.tasks['a'].evictions)

    def test_newest_checkpoint_is_kept_when_an_attempt_leaves_none(self):
        table = make_table(
            submit('a'),
            records.Claimed('a', 1, 'one'),
            records.Released('a', 1, 'evicted', 'point'),
            records.Claimed('a', 2, 'two'),
            records.Released('a', 2, 'not run'),
        )
        self.assertEqual('point', table.tasks['a'].checkpoint)

    def test_only_finished_tasks_are_retired(self):
        table = make_table(
            submit('a'),
            submit('b'),
            records.Finished('a', 0, records.TaskPhase.CANCELLED, at=1.0),
        )
        both = records.Retired(('a', 'b'))
        self.assertEqual(['b is not finished'], table.find_problems([both]))
        table.apply(records.Retired(('a',)))
        self.assertEqual(['b'], list(table.tasks))

    def test_finished_task_needs_no_payload(self):
        table = make_table(
            submit('a'),
            records.Finished('a', 0, records.TaskPhase.CANCELLED),
        )
        self.assertEqual('', table.tasks['a'].payload)

    def test_only_failures_count_against_the_attempts(self):
        """An idempotent build fails after refusals for lack of capacity."""
        table = make_table(
            submit('a'),
            records.Claimed('a', 1, 'one'),
            records.Released('a', 1, 'no capacity'),
            records.Claimed('a', 2, 'one'),
            records.Released('a', 2, tasks.FAILED),
        )
        self.assertEqual(1, table.tasks['a'].failures)

    def test_table_round_trips_through_its_stored_form(self):
        table = make_table(
            records.Opened('one', 1),
            records.Members((records.Member('id', 'host:1'),)),
            submit('a'),
            records.Claimed('a', 1, 'one', 'boot'),
        )
        self.assertEqual(table, tasks.load_table(tasks.dump_table(table)))

import contextlib
import io

import anyio

from persimmonsail.catalogues import catalogue_store
from persimmonsail.catalogues import revisions
from persimmonsail import cli
from persimmonsail import exits
from persimmonsail import store as store_module
from standins import memory
from tests import base
from tests.catalogues import test_catalogue

GOOD = test_catalogue.GOOD
OTHER = GOOD.replace('cores = 10', 'cores = 20')
THIRD = GOOD.replace('cores = 10', 'cores = 30')


class RacingStore(memory.MemoryStore):
    """Runs a hook once, just before the head is written."""

    def __init__(self):
        super().__init__()
        self.hook = None

    async def put(self, key, value, expected=None, lease=None):
        hook = self.hook
        if key == revisions.HEAD_KEY and hook is not None:
            self.hook = None
            await hook()
        return await super().put(key, value, expected, lease)


class CommandsTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.store = RacingStore()
        kinds = store_module.load_kinds()
        kinds['test'] = lambda address, timeout: self.store
        self.addCleanup(kinds.pop, 'test')
        self.file = self.make_directory() / 'mine.ini'

    def run_command(self, *arguments):
        """Return exit code, standard output and standard error."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out):
            with contextlib.redirect_stderr(err):
                code = cli.main(
                    [*arguments, '--store', 'a:1', '--store-kind', 'test']
                )
        return code, out.getvalue(), err.getvalue()

    def apply(self, text, *options):
        self.file.write_text(text, encoding='utf-8')
        return self.run_command('catalogue', 'apply', str(self.file), *options)

    async def apply_other(self):
        catalogues = catalogue_store.CatalogueStore(self.store)
        await catalogues.swap(await catalogues.read(), OTHER, 'bob')

    def test_show_edit_apply(self):
        code, out, _ = self.apply(GOOD, '--author', 'ann')
        self.assertEqual(exits.OK, code)
        self.assertIn('accepted revision=1 id=', out)
        _, shown, _ = self.run_command('catalogue', 'show')
        self.assertEqual(f'; revision 1 by ann\n{GOOD}', shown)
        edited = shown.replace('cores = 10', 'cores = 20')
        self.assertEqual(exits.OK, self.apply(edited)[0])
        _, shown, _ = self.run_command('catalogue', 'show')
        self.assertTrue(shown.endswith(f'\n{OTHER}'))
        _, shown, _ = self.run_command('catalogue', 'show', '--revision', '1')
        self.assertEqual(f'; revision 1 by ann\n{GOOD}', shown)
        _, shown, _ = self.run_command('catalogue', 'history')
        lines = shown.splitlines()
        self.assertEqual(2, len(lines))
        self.assertRegex(
            lines[0], r'^revision=1 author=ann applied=\d{4}-\S+ id=\w+$'
        )

    def test_edit_without_a_base_replaces_nothing(self):
        """An operator's edit is silently overwritten.

        A colleague applies a file of last week, which lacks the edit in
        force.
        """
        self.apply(GOOD)
        code, _, err = self.apply(OTHER)
        self.assertEqual(exits.USAGE, code)
        self.assertIn('revision 1 is in force', err)
        self.assertEqual(exits.OK, self.apply(OTHER, '--base', 'head')[0])

    def test_loser_learns_who_won_and_the_difference(self):
        self.apply(GOOD)
        anyio.run(self.apply_other)
        edit = f'; revision 1 by ann\n{THIRD}'
        code, _, err = self.apply(edit)
        self.assertEqual(exits.LOST_RACE, code)
        self.assertIn('not accepted: revision 2 by bob won', err)
        self.assertIn('-cores = 20\n+cores = 30', err)
        self.assertEqual(edit, self.file.read_text(encoding='utf-8'))

    def test_race_between_reading_and_swapping(self):
        """Two edits are both reported as accepted.

        The other operator's swap comes between this one's read of the
        head and its own swap.
        """
        self.apply(GOOD)
        self.store.hook = self.apply_other
        code, out, err = self.apply(THIRD, '--base', '1')
        self.assertEqual((exits.LOST_RACE, ''), (code, out))
        self.assertIn('revision 2 by bob won', err)
        _, shown, _ = self.run_command('catalogue', 'show')
        self.assertTrue(shown.endswith(OTHER))

    def test_lost_answer_of_the_swap_is_resolved(self):
        """An accepted edit is reported as lost.

        The store commits the swap and loses the answer; the retry
        conflicts with its own write.
        """
        self.apply(GOOD)

        async def lose_answer():
            self.store.faults = memory.Faults(lose_answers=1)

        self.store.hook = lose_answer
        code, out, _ = self.apply(OTHER, '--base', '1')
        self.assertEqual(exits.OK, code)
        self.assertIn('accepted revision=2', out)

    def test_store_that_is_down_means_not_accepted(self):
        self.store.faults = memory.Faults(down=True)
        code, out, err = self.apply(GOOD)
        self.assertEqual((exits.UNAVAILABLE, ''), (code, out))
        self.assertIn('not accepted: the swap was not sent', err)

    def test_outage_during_the_swap_is_reported_as_unknown(self):
        """An operator believes an accepted edit to have failed.

        The store goes down while the swap is in flight, and stays down
        for all retries.
        """
        self.apply(GOOD)

        async def go_down():
            self.store.faults = memory.Faults(down=True)

        self.store.hook = go_down
        code, out, err = self.apply(OTHER, '--base', '1')
        self.assertEqual((exits.OUTCOME_UNKNOWN, ''), (code, out))
        self.assertIn('unknown whether revision 2 was accepted', err)
        self.assertIn('apply again with --base 1', err)
        self.store.faults = memory.Faults()
        retried = self.apply(OTHER, '--base', '1')
        self.assertEqual(exits.OK, retried[0])

    def test_check_needs_no_store(self):
        self.file.write_text(GOOD, encoding='utf-8')
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = cli.main(['catalogue', 'check', str(self.file)])
        self.assertEqual((exits.OK, 'ok\n'), (code, out.getvalue()))

    def test_invalid_edit_reaches_no_store(self):
        code, _, err = self.apply(test_catalogue.BAD)
        self.assertEqual(exits.INVALID_INPUT, code)
        self.assertEqual(
            len(test_catalogue.EXPECTED) + 1, len(err.splitlines())
        )
        self.assertEqual(0, self.store.calls.read + self.store.calls.write)

    def test_unreachable_entry_is_reported_as_unconfirmed(self):
        value = '{"name": "gone", "control": "127.0.0.1:1", "zone": "a"}'
        anyio.run(self.store.put, 'live/entries/gone', value)
        code, out, err = self.apply(GOOD, '--wait', '0.01')
        self.assertEqual(exits.NOT_CONFIRMED, code)
        self.assertIn('accepted revision=1', out)
        self.assertNotIn('in-force', out)
        self.assertIn('unconfirmed=gone', err)

    def test_every_help_shows_an_example_or_the_exit_codes(self):
        for command in (
            [],
            ['catalogue'],
            *(['catalogue', name] for name in ('show', 'diff', 'apply')),
            ['catalogue', 'history'],
            ['catalogue', 'check'],
            ['status'],
        ):
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                self.assertRaises(SystemExit, cli.main, [*command, '--help'])
            self.assertRegex(out.getvalue(), 'example|exit codes')

import contextlib
import dataclasses
import io

from persimmonsail.auditing import chain
from persimmonsail.auditing import verdicts
from persimmonsail.bookkeeping import records
from persimmonsail import cli
from persimmonsail import exits
from persimmonsail import logs
from tests import base
from tests import scenarios

HELD = verdicts.Verdict.HELD
VIOLATED = verdicts.Verdict.VIOLATED
NOT_SHOWN = verdicts.Verdict.NOT_SHOWN
INVARIANTS = (
    *(f'I{number}' for number in range(1, 10)),
    'J1',
    'J2',
    'J3',
    'J4',
)


class AuditCase(base.TestCase):
    """Audits a scenario and asserts which invariants failed."""

    def check_invariants(self, scenario):
        return scenario.check_invariants(self.make_directory())

    def assert_only(self, scenario, invariant, subject, verdict=VIOLATED):
        """Assert that only this invariant fails, with located findings."""
        reports = self.check_invariants(scenario)
        failed = {
            name: str(report.verdict)
            for name, report in reports.items()
            if report.verdict is not HELD
        }
        self.assertEqual({invariant: str(verdict)}, failed)
        report = reports[invariant]
        findings = [*report.violations, *report.gaps]
        self.assertEqual({subject}, {f.subject for f in findings})
        for finding in findings:
            if verdict is VIOLATED:
                self.assertRegex(finding.locations[0], r'\.log:\d+|store:')
        return findings


class CleanTest(AuditCase):
    def test_clean_logs_satisfy_every_invariant_with_cases(self):
        reports = self.check_invariants(scenarios.make_scenario())
        self.assertEqual(
            ('I1', *INVARIANTS[1:], 'evidence'), tuple(sorted(reports))
        )
        for report in reports.values():
            self.assertEqual([], report.violations + report.gaps)
            self.assertIs(HELD, report.verdict)
            self.assertGreater(report.cases, 0, report.invariant)

    def test_every_invariant_has_one_check(self):
        self.assertEqual(INVARIANTS, tuple(sorted(verdicts.CHECKS)))

    def test_message_lines_pass_and_other_text_is_counted(self):
        scenario = scenarios.make_scenario()
        scenario.add(50.0, 'entry', 'message', text='a b=c "d"')
        directory = self.make_directory()
        paths = scenario.write(directory)
        with paths[0].open('a') as file:
            file.write('Traceback (most recent call last):\n')
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = cli.main(['audit', *map(str, paths)])
        self.assertEqual(exits.OK, code, output.getvalue())
        self.assertIn('unparsed=1', output.getvalue())


class CapacityTest(AuditCase):
    def test_commitments_beyond_capacity(self):
        """Two entries choose the same instance simultaneously.

        Its sidecar admits both attempts although only one fits.
        """
        scenario = scenarios.make_scenario()
        line = scenario.find('task-dispatch', task=scenarios.BUILD, attempt=1)
        line.fields['cores'] = 12.0
        self.assert_only(scenario, 'I1', 'one')

    def test_accelerators_count_on_their_own(self):
        scenario = scenarios.make_scenario()
        for task in (scenarios.BUILD, scenarios.WATCHER):
            line = scenario.find('task-dispatch', task=task, attempt=1)
            line.fields['accelerators'] = 1
        self.assert_only(scenario, 'I1', 'one')

    def test_unknown_capacity_is_not_shown(self):
        scenario = scenarios.make_scenario()
        scenario.drop('takeover', incarnation=scenarios.TWO)
        self.assert_only(scenario, 'I1', 'two', NOT_SHOWN)


class SinglePlacementTest(AuditCase):
    def test_second_start_before_the_lease_expires(self):
        """A holder releases a watcher before its lease has expired.

        The second attempt starts while the first may still be running.
        """
        scenario = scenarios.make_scenario()
        renewal = scenario.find('renewal')
        renewal.time = 14.0
        self.assert_only(scenario, 'I2', scenarios.WATCHER)

    def test_start_without_a_claim(self):
        scenario = scenarios.make_scenario()
        scenarios.start_task(scenario, 19.0, scenarios.WATCHER, 3, 'two')
        scenarios.end_task(
            scenario, 19.5, scenarios.WATCHER, 3, 'two', 'stopped'
        )
        self.assert_only(scenario, 'I2', scenarios.WATCHER)

    def test_start_under_an_older_epoch(self):
        scenario = scenarios.make_scenario()
        line = scenario.find(
            'task-dispatch', task=scenarios.WATCHER, attempt=2
        )
        line.fields['epoch'] = 0
        self.assert_only(scenario, 'I2', scenarios.WATCHER)


class ResumptionTest(AuditCase):
    def test_resumed_without_its_checkpoint(self):
        """A checkpointed build does not start from its checkpoint."""
        scenario = scenarios.make_scenario()
        line = scenario.find('task-dispatch', task=scenarios.BUILD, attempt=2)
        line.fields['checkpoint'] = 'other'
        self.assert_only(scenario, 'I3', scenarios.BUILD)

    def test_checkpoint_reported_after_the_lease_is_not_lost(self):
        """An instance was unreachable for the whole lease of a watcher.

        Its worker evicted the watcher. By the time the sidecar is back
        and reports the checkpoint, the watcher runs elsewhere.
        """
        scenario = scenarios.make_scenario()
        scenario.add(
            17.0,
            'one',
            'task-ended',
            task=scenarios.WATCHER,
            attempt=1,
            incarnation=scenarios.ONE,
            phase='evicted',
            checkpoint='late',
        )
        for report in self.check_invariants(scenario).values():
            self.assertIs(HELD, report.verdict, report.violations)

    def test_checkpoint_reported_within_the_lease_is_lost(self):
        """As above, but the worker reported within the lease."""
        scenario = scenarios.make_scenario()
        scenario.add(
            10.0,
            'one',
            'task-ended',
            task=scenarios.WATCHER,
            attempt=1,
            incarnation=scenarios.ONE,
            phase='evicted',
            checkpoint='told',
        )
        self.assert_only(scenario, 'I3', scenarios.WATCHER)

    def test_eviction_whose_checkpoint_the_ledger_lost(self):
        """A build ends as unknown although its work was saved."""
        scenario = self.lose_checkpoint(scenarios.BUILD)
        report = self.check_invariants(scenario)['I3']
        self.assertEqual(
            [scenarios.BUILD], [f.subject for f in report.violations]
        )

    def test_watcher_restarts_without_an_unreachable_workers_checkpoint(self):
        scenario = scenarios.make_scenario()
        scenarios.end_task(
            scenario, 13.1, scenarios.WATCHER, 1, 'one', 'evicted', 'late'
        )
        self.assertIs(HELD, self.check_invariants(scenario)['I3'].verdict)

    def lose_checkpoint(self, task):
        scenario = scenarios.make_scenario()
        batches = scenarios.make_batches()
        finished = records.Finished(
            task, 1, records.TaskPhase.UNKNOWN, '', 'lease over'
        )
        retained = [
            (time, tuple(r for r in items if not is_after(r, task)))
            for time, items in batches
        ]
        retained = [(time, items) for time, items in retained if items]
        scenarios.replace_ledger(scenario, [*retained, (19.0, (finished,))])
        return scenario


def is_after(record, task):
    """Whether a record follows the first claim of a task."""
    first = isinstance(record, records.Submitted) or (
        isinstance(record, records.Claimed) and record.attempt == 1
    )
    return getattr(record, 'task', '') == task and not first


class AnswersTest(AuditCase):
    def test_answer_of_another_request(self):
        """A late answer is returned for the next request on the link."""
        scenario = scenarios.make_scenario()
        line = scenario.find('answer', request=scenarios.QUICK)
        line.fields['answer'] = logs.digest(scenarios.ONCE.encode())
        self.assert_only(scenario, 'I4', scenarios.QUICK)

    def test_two_final_answers(self):
        scenario = scenarios.make_scenario()
        line = scenario.find('answer', request=scenarios.QUICK)
        scenario.lines.append(dataclasses.replace(line, time=line.time + 1))
        self.assert_only(scenario, 'I4', scenarios.QUICK)

    def test_task_answer_that_is_not_the_outcome(self):
        scenario = scenarios.make_scenario()
        line = scenario.find('task-answer', phase='succeeded')
        line.fields['answer'] = 'other'
        self.assert_only(scenario, 'I4', scenarios.BUILD)

    def test_answer_without_a_sidecar_line_is_not_shown(self):
        scenario = scenarios.make_scenario()
        for event in ('dispatch', 'outcome'):
            scenario.drop(event, request=scenarios.QUICK)
        self.assert_only(scenario, 'I4', scenarios.QUICK, NOT_SHOWN)

    def test_request_open_in_a_log_without_a_stop_is_not_shown(self):
        scenario = scenarios.make_scenario()
        scenario.add(42.0, 'entry', 'request', request='open', name='check')
        self.assert_only(scenario, 'I4', 'open', NOT_SHOWN)


class NotRunTest(AuditCase):
    def test_refused_request_that_ran(self):
        """A caller retries after a false 'not run', and it runs twice."""
        scenario = scenarios.make_scenario()
        line = scenario.find('outcome', request=scenarios.REFUSED)
        line.fields.update(verdict='unknown', reason='ReadTimeout')
        self.assert_only(scenario, 'I5', scenarios.REFUSED)

    def test_refused_task_that_was_accepted(self):
        scenario = scenarios.make_scenario()
        line = scenario.drop('task-answer', request='submit')
        scenario.add(
            line.time,
            'entry',
            'refusal',
            request='submit',
            task=scenarios.BUILD,
            work='not-run',
        )
        self.assert_only(scenario, 'I5', 'submit')

    def test_missing_log_of_the_chosen_instance_is_not_shown(self):
        scenario = scenarios.make_scenario()
        line = scenario.find('routing', request=scenarios.REFUSED)
        line.fields['chosen'] = 'three'
        self.assert_only(scenario, 'I5', scenarios.REFUSED, NOT_SHOWN)


class AtMostOnceTest(AuditCase):
    def test_request_sent_to_run_twice(self):
        """A non-idempotent request runs twice, with conflicting results."""
        scenario = scenarios.make_scenario()
        scenarios.add_dispatch(scenario, 3.25, scenarios.ONCE, False, 2)
        outcome = scenario.find('outcome', request=scenarios.ONCE)
        scenario.add(
            3.35,
            'one',
            'outcome',
            **{**outcome.fields, 'attempt': f'{scenarios.ONCE}-2'},
        )
        self.assert_only(scenario, 'I6', scenarios.ONCE)

    def test_build_that_starts_again_from_nothing(self):
        scenario = scenarios.make_scenario()
        line = scenario.find('task-dispatch', task=scenarios.BUILD, attempt=2)
        line.fields['checkpoint'] = ''
        reports = self.check_invariants(scenario)
        self.assertIs(VIOLATED, reports['I6'].verdict)
        subjects = {f.subject for f in reports['I6'].violations}
        self.assertEqual({scenarios.BUILD}, subjects)

    def test_build_unknown_to_its_worker_may_start(self):
        scenario = self.make_unconfirmed_start()
        self.assertIs(HELD, self.check_invariants(scenario)['I6'].verdict)

    def test_build_unknown_to_a_restarted_worker_may_have_run(self):
        """A build runs twice: its worker completed it, then crashed.

        The new worker process does not know the build, which is no
        evidence that it never ran.
        """
        scenario = self.make_unconfirmed_start()
        takeover = scenario.find('takeover', incarnation=scenarios.ONE)
        fields = {**takeover.fields, 'worker_boot': 'second'}
        scenario.add(6.0, 'one', 'takeover', **fields)
        reports = self.check_invariants(scenario)
        subjects = {f.subject for f in reports['I6'].violations}
        self.assertEqual({scenarios.BUILD}, subjects)

    def make_unconfirmed_start(self):
        """A build's first start has no answer; the next is from scratch."""
        scenario = scenarios.make_scenario()
        scenario.drop('task-admission', task=scenarios.BUILD, attempt=1)
        ended = scenario.find('task-ended', task=scenarios.BUILD, attempt=1)
        ended.fields['phase'] = 'absent'
        line = scenario.find('task-dispatch', task=scenarios.BUILD, attempt=2)
        line.fields['checkpoint'] = ''
        return scenario


class LeavingTest(AuditCase):
    def test_choice_long_after_the_announcement(self):
        """A request is routed to a server that is shutting down."""
        scenario = scenarios.make_scenario()
        line = scenario.find('routing', request=scenarios.QUICK)
        scenario.lines.append(dataclasses.replace(line, time=14.0))
        self.assert_only(scenario, 'I7', 'one')

    def test_a_new_incarnation_may_be_chosen(self):
        scenario = scenarios.make_scenario()
        line = scenario.find('routing', request=scenarios.QUICK)
        fields = {**line.fields, 'incarnation': 'later'}
        scenario.add(14.0, 'entry', 'routing', **fields)
        self.assertIs(HELD, self.check_invariants(scenario)['I7'].verdict)


class StopsTest(AuditCase):
    def test_attempt_cut_off_by_a_stop(self):
        """A request in flight fails because its sidecar was replaced."""
        scenario = scenarios.make_scenario()
        scenario.add(
            10.5,
            'one',
            'outcome',
            request='cut',
            verdict='unknown',
            attempt='cut-1',
            incarnation=scenarios.ONE,
            reason='cut off',
        )
        self.assert_only(scenario, 'I8', 'cut')

    def test_request_without_an_end_before_the_stop(self):
        scenario = scenarios.make_scenario()
        scenario.drop('refusal', request=scenarios.REFUSED)
        reports = self.check_invariants(scenario)
        self.assertIs(VIOLATED, reports['I8'].verdict)
        subjects = {f.subject for f in reports['I8'].violations}
        self.assertEqual({scenarios.REFUSED}, subjects)

    def test_stop_without_an_end_is_not_shown(self):
        scenario = scenarios.make_scenario()
        scenario.drop('stopped', incarnation=scenarios.TWO)
        self.assert_only(scenario, 'I8', 'two', NOT_SHOWN)


class CatalogueTest(AuditCase):
    def test_decision_under_a_replaced_revision(self):
        """A lowered limit is exceeded based on the old revision."""
        scenario = scenarios.make_scenario()
        scenario.add(
            26.0,
            'other',
            'routing',
            request='late',
            chosen='two',
            incarnation=scenarios.TWO,
            revision=1,
        )
        self.assert_only(scenario, 'I9', 'other')

    def test_process_that_reverts_to_an_older_revision(self):
        scenario = scenarios.make_scenario()
        scenario.add(21.0, 'entry', 'catalogue', revision=1, id='edit-1')
        self.assert_only(scenario, 'I9', 'entry')

    def test_accepted_change_that_the_store_lost(self):
        scenario = scenarios.make_scenario()
        scenario.heads.pop()
        self.assert_only(scenario, 'I9', 'revision 2')

    def test_two_catalogues_under_one_revision(self):
        scenario = scenarios.make_scenario()
        scenario.add(20.3, 'other', 'catalogue', revision=2, id='edit-x')
        self.assert_only(scenario, 'I9', 'revision 2')

    def test_acceptance_without_a_line_is_not_shown(self):
        scenario = scenarios.make_scenario()
        scenario.drop('catalogue-accepted', revision=2)
        self.assert_only(scenario, 'I9', 'revision 2', NOT_SHOWN)


class ChainTest(AuditCase):
    def test_tampered_batch_is_found(self):
        """A claim is altered in the log after the fact."""
        scenario = scenarios.make_scenario()
        line = scenario.find('ledger-commit', position=5)
        line.fields['batch'] = line.fields['batch'].replace('two', 'one')
        line.fields['hash'] = records.hash_text(line.fields['batch'])
        faults = self.check_invariants(scenario)['evidence'].violations
        self.assertEqual({'partition 0'}, {f.subject for f in faults})
        texts = ' '.join(fault.text for fault in faults)
        self.assertIn('two batches at position 5', texts)

    def test_tampered_batch_is_found_without_the_store(self):
        scenario = scenarios.make_scenario()
        scenario.page = None
        line = scenario.find('ledger-commit', position=5)
        line.fields['batch'] = line.fields['batch'].replace('two', 'one')
        line.fields['hash'] = records.hash_text(line.fields['batch'])
        faults = self.check_invariants(scenario)['evidence'].violations
        texts = [fault.text for fault in faults]
        self.assertEqual(['the chain is broken at position 6'], texts)

    def test_wrong_hash_is_found(self):
        scenario = scenarios.make_scenario()
        scenario.find('ledger-commit', position=4).fields['hash'] = 'other'
        self.assert_only(scenario, 'evidence', 'partition 0')

    def test_missing_batch_is_not_shown(self):
        scenario = scenarios.make_scenario()
        scenario.page = None
        scenario.drop('ledger-commit', position=3)
        report = self.check_invariants(scenario)['evidence']
        self.assertIs(NOT_SHOWN, report.verdict)

    def test_store_fills_a_gap_in_the_logs(self):
        scenario = scenarios.make_scenario()
        scenario.drop('ledger-commit', position=3)
        self.assertIs(
            HELD, self.check_invariants(scenario)['evidence'].verdict
        )


class CommandTest(AuditCase):
    def run_audit(self, scenario, *options):
        paths = scenario.write(self.make_directory())
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = cli.main(['audit', *options, *map(str, paths)])
        return code, output.getvalue()

    def test_exit_codes(self):
        scenario = scenarios.make_scenario()
        code, output = self.run_audit(scenario)
        self.assertEqual(exits.OK, code)
        self.assertTrue(output.endswith('audit=ok\n'))
        scenario.drop('stopped', incarnation=scenarios.TWO)
        code, output = self.run_audit(scenario)
        self.assertEqual(exits.EVIDENCE, code)
        self.assertTrue(output.endswith('audit=not-shown\n'))
        scenario.add(21.0, 'entry', 'catalogue', revision=1, id='edit-1')
        code, output = self.run_audit(scenario)
        self.assertEqual(exits.BROKEN, code)
        self.assertTrue(output.endswith('audit=violated\n'))
        self.assertIn('violation=I9 subject=entry', output)

    def test_saved_ledger_is_compared_with_the_logs(self):
        scenario = scenarios.make_scenario()
        saved = self.make_directory() / 'ledger.json'
        saved.write_text(chain.dump_page(scenario.page).replace('two', 'one'))
        code, output = self.run_audit(scenario, '--ledger', str(saved))
        self.assertEqual(exits.EVIDENCE, code)
        self.assertIn('two batches at position', output)

    def test_history_of_a_task_is_in_order_of_time(self):
        scenario = scenarios.make_scenario()
        code, output = self.run_audit(scenario, '--task', scenarios.BUILD)
        self.assertEqual(exits.OK, code)
        lines = output.splitlines()
        self.assertEqual(lines, sorted(lines, key=lambda x: float(x[:8])))
        for expected in (
            'kind=submitted',
            'placement',
            'task-ended',
            'finished',
        ):
            self.assertIn(expected, output)

    def test_history_of_a_request_has_its_attempts(self):
        scenario = scenarios.make_scenario()
        code, output = self.run_audit(scenario, '--request', scenarios.QUICK)
        self.assertEqual(exits.OK, code)
        kinds = [line.split()[2] for line in output.splitlines()]
        self.assertEqual(
            [
                'request',
                'routing',
                'dispatch',
                'outcome',
                'admission',
                'answer',
            ],
            kinds,
        )

    def test_history_of_an_unknown_request_fails(self):
        scenario = scenarios.make_scenario()
        code, _ = self.run_audit(scenario, '--request', 'nobody')
        self.assertEqual(exits.EVIDENCE, code)

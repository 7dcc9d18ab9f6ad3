"""The audit command: checks all invariants from ledger and logs only."""

import argparse
import sys

from persimmonsail.auditing import audit_capacity  # noqa: F401
from persimmonsail.auditing import audit_catalogue  # noqa: F401
from persimmonsail.auditing import audit_jobs  # noqa: F401
from persimmonsail.auditing import audit_requests  # noqa: F401
from persimmonsail.auditing import audit_stops  # noqa: F401
from persimmonsail.auditing import audit_tasks  # noqa: F401
from persimmonsail.auditing import chain
from persimmonsail.auditing import evidence
from persimmonsail.auditing import history
from persimmonsail.auditing import tolerances
from persimmonsail.auditing import verdicts
from persimmonsail.catalogues import catalogue_store
from persimmonsail.catalogues import revisions
from persimmonsail import exceptions
from persimmonsail import exits
from persimmonsail import logs
from persimmonsail import store as store_module

_EVIDENCE = 'evidence'
_MAX_FINDINGS_SHOWN = 20


async def run(arguments: argparse.Namespace) -> int:
    """Print a history, or all findings and a verdict per invariant."""
    if arguments.request or arguments.task:
        return _print_history(arguments)
    try:
        page, heads = await _read_store(arguments)
    except exceptions.StoreUnavailable as error:
        print(f'the store did not answer: {error}', file=sys.stderr)
        return exits.UNAVAILABLE
    if arguments.save_ledger and page is not None:
        arguments.save_ledger.write_text(chain.dump_page(page))
    events = evidence.read_logs(arguments.logs)
    case = verdicts.Case(
        events,
        chain.rebuild(events, page),
        heads,
        tolerances.Tolerances(
            arguments.clock_seconds,
            arguments.leaving_seconds,
            arguments.catalogue_seconds,
        ),
    )
    reports = [check_evidence(case), *verdicts.run_checks(case)]
    _print_summary(case, page)
    for report in reports:
        _print_report(report)
    code = choose_exit(reports)
    print(f'audit={_RESULTS[code]}')
    return code


_RESULTS = {
    exits.OK: 'ok',
    exits.BROKEN: 'violated',
    exits.EVIDENCE: 'not-shown',
}


def check_evidence(case: verdicts.Case) -> verdicts.Report:
    """Return the faults and gaps in the evidence itself."""
    report = verdicts.Report(_EVIDENCE, "the ledger's chains are whole")
    report.cases = len(case.ledger.chains)
    for faults, findings in (
        (case.ledger.faults, report.violations),
        (case.ledger.gaps, report.gaps),
    ):
        for fault in faults:
            findings.append(
                verdicts.Finding(
                    f'partition {fault.partition}', fault.text, fault.locations
                )
            )
    if not case.logs.lines:
        report.add_gap('logs', 'no log line was read')
    return report


def choose_exit(reports: list[verdicts.Report]) -> int:
    """Return the exit code for all reports.

    A violation takes precedence over broken or missing evidence; broken
    evidence by itself says nothing about the other invariants.
    """
    violated = {
        report.invariant
        for report in reports
        if report.verdict is verdicts.Verdict.VIOLATED
    }
    if violated - {_EVIDENCE}:
        return exits.BROKEN
    all_held = all(r.verdict is verdicts.Verdict.HELD for r in reports)
    return exits.OK if all_held else exits.EVIDENCE


async def _read_store(
    arguments: argparse.Namespace,
) -> tuple[store_module.Page | None, list[revisions.Head] | None]:
    if arguments.ledger:
        return chain.read_page(arguments.ledger.read_text()), None
    if not arguments.store:
        return None, None
    store = store_module.KINDS[arguments.store_kind](
        arguments.store, arguments.timeout
    )
    try:
        page = await store.scan(chain.PREFIX)
        heads = await catalogue_store.CatalogueStore(store).read_history()
        return page, heads
    finally:
        await store.close()


def _print_history(arguments: argparse.Namespace) -> int:
    subject = arguments.request or arguments.task
    lines = history.collect_lines(subject, arguments.logs)
    for line in lines:
        print(line)
    if not lines:
        print(f'no log line mentions {subject}', file=sys.stderr)
    return exits.OK if lines else exits.EVIDENCE


def _print_summary(
    case: verdicts.Case, page: store_module.Page | None
) -> None:
    fields = {
        'read': 'evidence',
        'lines': case.logs.lines,
        'unparsed': case.logs.unparsed,
        'processes': len(case.logs.processes),
        'store': 'not-read' if page is None else 'read',
    }
    print(logs.format_line(fields))


def _print_report(report: verdicts.Report) -> None:
    kinds = (('violation', report.violations), ('gap', report.gaps))
    for kind, findings in kinds:
        for finding in findings[:_MAX_FINDINGS_SHOWN]:
            fields = {
                kind: report.invariant,
                'subject': finding.subject,
                'text': finding.text,
                'places': ','.join(finding.locations),
            }
            print(logs.format_line(fields))
        if len(findings) > _MAX_FINDINGS_SHOWN:
            more = len(findings) - _MAX_FINDINGS_SHOWN
            print(logs.format_line({kind: report.invariant, 'more': more}))
    fields = {
        'check': report.invariant,
        'verdict': report.verdict,
        'cases': report.cases,
        'title': report.title,
    }
    print(logs.format_line(fields))

import argparse
import contextlib
import io
import pathlib
import re
import socket
import subprocess
import sys

from persimmonsail import cli
from persimmonsail import exits
from persimmonsail import logs
from tests import base

ROOT = pathlib.Path(__file__).parent.parent
ENTRY = ROOT / 'examples' / 'entry.ini'
OPERATIONS = ROOT / 'docs' / 'OPERATIONS.md'
MAX_WIDTH = 80


def list_commands(
    parser: argparse.ArgumentParser, name: str
) -> dict[str, argparse.ArgumentParser]:
    """Return a parser and all its subparsers, by their full commands."""
    found = {name: parser}
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            for command, inner in action.choices.items():
                found |= list_commands(inner, f'{name} {command}')
    return found


class CommandLineTest(base.TestCase):
    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        out, errors = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(errors),
        ):
            try:
                code = cli.main(list(arguments))
            except SystemExit as error:
                code = error.code
        return code, out.getvalue(), errors.getvalue()

    def test_help_of_every_command_is_complete(self):
        for name, parser in list_commands(cli.make_parser(), 'p').items():
            self.assertTrue(parser.description, name)
            lines = parser.format_help().splitlines()
            for line in lines:
                self.assertLessEqual(len(line), MAX_WIDTH, f'{name}: {line}')
            is_leaf = not parser._subparsers
            if is_leaf:
                self.assertTrue(
                    any(line.startswith('example: ') for line in lines), name
                )
            for action in parser._actions:
                self.assertTrue(action.help or not is_leaf, (name, action))

    def test_help_lists_every_exit_code(self):
        code, out, _ = self.run_command('--help')
        self.assertEqual(exits.OK, code)
        for number, text in exits.MEANINGS.items():
            self.assertIn(f'  {number}  {text}', out)

    def test_operations_page_lists_every_exit_code(self):
        table = dict(
            re.findall(
                r'^\| (\d+) \| ([A-Z_]+) \|',
                OPERATIONS.read_text(encoding='utf-8'),
                re.MULTILINE,
            )
        )
        codes = {
            str(number): name
            for name, number in vars(exits).items()
            if isinstance(number, int)
        }
        self.assertEqual(codes, table)
        self.assertEqual(set(codes), {str(n) for n in exits.MEANINGS})

    def test_invalid_command_is_a_usage_error(self):
        for arguments in ((), ('none',), ('check', 'a.ini')):
            code, _, errors = self.run_command(*arguments)
            self.assertEqual(exits.USAGE, code)
            self.assertIn('usage: persimmonsail', errors)

    def test_check_accepts_the_example(self):
        code, out, _ = self.run_command('check', str(ENTRY), '--role', 'entry')
        self.assertEqual((exits.OK, 'ok\n'), (code, out))

    def test_check_prints_every_finding_with_its_location(self):
        path = self.make_directory() / 'entry.ini'
        text = ENTRY.read_text(encoding='utf-8')
        text = text.replace('partitions = 8', 'partitions = many')
        text = text.replace('timeout = 1.0', 'tiemout = 1.0')
        path.write_text(text, encoding='utf-8')
        code, _, errors = self.run_command(
            'check', str(path), '--role', 'entry'
        )
        self.assertEqual(exits.INVALID_INPUT, code)
        self.assertRegex(errors, r'entry\.ini:\d+ \[entry\] partitions: ')
        self.assertRegex(errors, r'entry\.ini:\d+ \[store\] tiemout: ')

    def test_check_rejects_the_file_of_another_role(self):
        code, _, errors = self.run_command(
            'check', str(ENTRY), '--role', 'sidecar'
        )
        self.assertEqual(exits.INVALID_INPUT, code)
        self.assertIn('[sidecar]: section is missing', errors)

    def test_unreadable_file_is_reported(self):
        for role in ('entry', 'sidecar'):
            code, _, errors = self.run_command(role, '/none/such.ini')
            self.assertEqual(exits.INVALID_INPUT, code)
            self.assertIn('/none/such.ini', errors)

    def test_port_in_use_is_not_a_crash(self):
        """Operators file a bug for a wrong setting.

        The port is in use by another process, the role ends with an
        unhandled exception, and its log line reads like a bug.
        """
        with socket.create_server(('127.0.0.1', 0)) as server:
            port = server.getsockname()[1]
            path = self.make_directory() / 'entry.ini'
            text = ENTRY.read_text(encoding='utf-8')
            path.write_text(
                re.sub(
                    '(?m)^control = .*', f'control = 127.0.0.1:{port}', text
                )
            )
            completed = subprocess.run(
                [sys.executable, '-m', 'persimmonsail', 'entry', str(path)],
                capture_output=True,
                text=True,
                check=False,
            )
        self.assertEqual(exits.INVALID_INPUT, completed.returncode)
        line = logs.parse_line(completed.stdout.splitlines()[-1])
        self.assertEqual('not-started', line['event'])
        self.assertIn('in use', line['text'])
        self.assertEqual('', completed.stderr)

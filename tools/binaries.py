"""Compares builders of the single-file binary; see docs/BINARY.md.

Run ``python -m tools.binaries`` with the builders installed that the
page names; one that is not installed is reported as not run. The tests
do not use this module.
"""

import contextlib
import dataclasses
import importlib.util
import os
import pathlib
import shutil
import statistics
import subprocess
import sys
import tempfile
import time
import typing as t
import zipapp

import anyio
import psutil

from standins import deployment
from tools import binary

_WARM_STARTS = 5
_START_TIMEOUT_SECONDS = 30
_ROOT_VARIABLES = ('SHIV_ROOT', 'PEX_ROOT', 'TMPDIR')
_LAUNCHER = 'from persimmonsail import cli\nimport sys\nsys.exit(cli.main())\n'

Builder = t.Callable[[pathlib.Path, pathlib.Path], None]
BUILDERS: dict[str, Builder] = {}


class BuilderMissing(Exception):
    """The builder is not installed."""


def register(name: str) -> t.Callable[[Builder], Builder]:
    """Register a builder of the binary from a folder of libraries."""

    def add(builder: Builder) -> Builder:
        BUILDERS[name] = builder
        return builder

    return add


def _run_module(module: str, *arguments: str) -> None:
    if importlib.util.find_spec(module) is None:
        raise BuilderMissing(module)
    subprocess.run(
        [sys.executable, '-m', module, *arguments],
        check=True,
        capture_output=True,
    )


@register('shiv')
def _build_shiv(site: pathlib.Path, output: pathlib.Path) -> None:
    binary.build(output)


@register('pex')
def _build_pex(site: pathlib.Path, output: pathlib.Path) -> None:
    _build_pex_with(site, output)


@register('pex --venv')
def _build_pex_venv(site: pathlib.Path, output: pathlib.Path) -> None:
    _build_pex_with(site, output, '--venv')


def _build_pex_with(
    site: pathlib.Path, output: pathlib.Path, *options: str
) -> None:
    _run_module(
        'pex',
        '--disable-cache',
        '--sources-directory',
        str(site),
        '--entry-point',
        binary.ENTRY_POINT,
        '--output-file',
        str(output),
        *options,
    )


@register('zipapp')
def _build_zipapp(site: pathlib.Path, output: pathlib.Path) -> None:
    zipapp.create_archive(
        site,
        output,
        interpreter=sys.executable,
        main=binary.ENTRY_POINT,
        compressed=True,
    )


@register('PyInstaller one-file')
def _build_pyinstaller(site: pathlib.Path, output: pathlib.Path) -> None:
    launcher = output.parent / 'launcher.py'
    launcher.write_text(_LAUNCHER, encoding='utf-8')
    _run_module(
        'PyInstaller',
        '--onefile',
        '--name',
        output.name,
        '--paths',
        str(site),
        '--collect-submodules',
        'persimmonsail',
        '--collect-submodules',
        'hypercorn',
        '--collect-submodules',
        'anyio',
        '--distpath',
        str(output.parent),
        '--workpath',
        str(output.parent / 'work'),
        '--specpath',
        str(output.parent),
        str(launcher),
    )


@dataclasses.dataclass(frozen=True)
class Role:
    """Processes, threads, resident memory and start time of a role."""

    processes: int
    threads: int
    resident_mb: float
    start_seconds: float


@dataclasses.dataclass(frozen=True)
class Measurement:
    """Measurements of one builder; times are in seconds."""

    name: str
    size_mb: float
    unpacked_mb: float
    cold_seconds: float
    warm_seconds: float
    entry: Role
    sidecar: Role

    def format_row(self) -> str:
        """Return a row of the table in docs/BINARY.md."""
        cells = [
            self.name,
            f'{self.size_mb:.1f}',
            f'{self.unpacked_mb:.1f}',
            f'{self.cold_seconds:.2f}',
            f'{self.warm_seconds:.2f}',
        ]
        for role in (self.entry, self.sidecar):
            cells += [
                f'{role.start_seconds:.2f}',
                f'{role.resident_mb:.0f}',
                f'{role.processes} / {role.threads}',
            ]
        return f'| {" | ".join(cells)} |'


@contextlib.contextmanager
def _unpack_to(root: pathlib.Path) -> t.Iterator[None]:
    """Make programs started in the context unpack below a folder."""
    saved_environment = dict(os.environ)
    os.environ.update({name: str(root) for name in _ROOT_VARIABLES})
    try:
        yield
    finally:
        os.environ.clear()
        os.environ.update(saved_environment)


def _measure_start(program: pathlib.Path) -> float:
    started_at = time.perf_counter()
    subprocess.run(
        [str(program), '--version'],
        check=True,
        capture_output=True,
        timeout=_START_TIMEOUT_SECONDS,
    )
    return time.perf_counter() - started_at


def _measure_folder(folder: pathlib.Path) -> float:
    files = [path for path in folder.rglob('*') if path.is_file()]
    return sum(path.stat().st_size for path in files) / 1e6


def _measure_role(process: deployment.Process, seconds: float) -> Role:
    root_process = psutil.Process(process.pid)
    process_tree = [root_process, *root_process.children(recursive=True)]
    return Role(
        len(process_tree),
        sum(member.num_threads() for member in process_tree),
        sum(member.memory_info().rss for member in process_tree) / 1e6,
        seconds,
    )


async def _measure_roles(
    program: pathlib.Path, directory: pathlib.Path
) -> tuple[Role, Role]:
    async with deployment.Deployment(directory, [str(program)]) as running:
        await running.start_store()
        started_at = time.perf_counter()
        entry = await running.start_entry('entry-1')
        entry_seconds = time.perf_counter() - started_at
        control = entry.find('listening')[0]['control']
        worker = await running.start_stand_in('worker', 'worker-1')
        backend = await running.start_stand_in('backend', 'backend-1')
        started_at = time.perf_counter()
        sidecar = await running.start_sidecar(
            'one', [control], worker, backend, 'planning'
        )
        sidecar_seconds = time.perf_counter() - started_at
        await entry.wait_event('announced', instance='one')
        return (
            _measure_role(entry, entry_seconds),
            _measure_role(sidecar, sidecar_seconds),
        )


def measure(name: str, directory: pathlib.Path) -> Measurement:
    """Build the binary with one builder and measure it."""
    site = directory / 'site'
    binary.collect(site)
    program = directory / 'out' / 'persimmonsail'
    program.parent.mkdir()
    BUILDERS[name](site, program)
    shutil.rmtree(site)
    root = directory / 'root'
    root.mkdir()
    with _unpack_to(root):
        cold_seconds = _measure_start(program)
        warm_seconds = [_measure_start(program) for _ in range(_WARM_STARTS)]
        roles = anyio.run(_measure_roles, program, directory / 'run')
    return Measurement(
        name,
        program.stat().st_size / 1e6,
        _measure_folder(root),
        cold_seconds,
        statistics.median(warm_seconds),
        *roles,
    )


def main() -> None:
    """Print a table row for each builder, or why it has none."""
    for name in sys.argv[1:] or BUILDERS:
        directory = tempfile.mkdtemp(prefix='persimmonsail-')
        try:
            print(measure(name, pathlib.Path(directory)).format_row())
        except BuilderMissing as error:
            print(f'| {name} | not run: {error} is not installed |')
        except subprocess.CalledProcessError as error:
            text = (error.stderr or b'')[-400:].decode(errors='replace')
            print(f'| {name} | does not start: {text.splitlines()[-1:]} |')
        finally:
            shutil.rmtree(directory)


if __name__ == '__main__':
    main()

"""Builds the single-file binary that is shipped: ``make binary``.

The libraries come from the environment that runs this tool, at exactly
the versions that ``requirements.txt`` pins, so that building needs no
network. docs/BINARY.md explains the choice of shiv.
"""

import compileall
import importlib.metadata
import pathlib
import py_compile
import shutil
import stat
import subprocess
import sys
import tempfile
import typing as t
import zipfile

ROOT = pathlib.Path(__file__).parent.parent
REQUIREMENTS = ROOT / 'requirements.txt'
PACKAGE = ROOT / 'src' / 'persimmonsail'
ENTRY_POINT = 'persimmonsail.cli:main'
OUTPUT = ROOT / 'dist' / 'persimmonsail'

_FILE_MODE = stat.S_IFREG | 0o644

# hdrhistogram declares these as run-time dependencies, but its modules
# import neither.
_UNUSED_DEPENDENCIES = frozenset({'pbr', 'setuptools'})


class VersionMismatch(Exception):
    """An installed version differs from the pinned one."""


def read_pins(text: str) -> dict[str, str]:
    """Return the pinned versions of the shipped libraries."""
    pins = {}
    for line in text.splitlines():
        name, separator, version = line.partition('==')
        if separator and name not in _UNUSED_DEPENDENCIES:
            pins[name] = version.strip()
    return pins


def collect(site: pathlib.Path) -> None:
    """Copy the package and its pinned libraries into one folder.

    Raises
    ------
    VersionMismatch
        If an installed version differs from the pinned one.
    """
    pins = read_pins(REQUIREMENTS.read_text(encoding='utf-8'))
    for name, version in pins.items():
        distribution = importlib.metadata.distribution(name)
        if distribution.version != version:
            raise VersionMismatch(
                f'{name}: {distribution.version} found, {version} pinned'
            )
        _copy_distribution(distribution, site)
    shutil.copytree(
        PACKAGE,
        site / PACKAGE.name,
        ignore=shutil.ignore_patterns('__pycache__'),
    )


def compile_sources(site: pathlib.Path) -> None:
    """Compile all modules, so that no process does so at its start.

    Compiling at start-up is slower, and some megabytes of memory stay
    allocated until the process ends.
    """
    compileall.compile_dir(
        site,
        quiet=2,
        stripdir=str(site),
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )


def _copy_distribution(
    distribution: importlib.metadata.Distribution, site: pathlib.Path
) -> None:
    for file in distribution.files or ():
        is_outside = '..' in file.parts
        if is_outside or '__pycache__' in file.parts:
            continue
        target = site / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def build(output: pathlib.Path, *options: str) -> None:
    """Write the binary; further options are passed to shiv."""
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix='persimmonsail-') as directory:
        site = pathlib.Path(directory) / 'site'
        collect(site)
        compile_sources(site)
        subprocess.run(
            _make_command(site, output, options), check=True, text=True
        )
        _add_compiled(site, output)


def _add_compiled(site: pathlib.Path, output: pathlib.Path) -> None:
    # shiv leaves compiled modules out.
    with zipfile.ZipFile(output, 'a', zipfile.ZIP_DEFLATED) as archive:
        for path in sorted(site.rglob('*.pyc')):
            name = f'site-packages/{path.relative_to(site)}'
            information = zipfile.ZipInfo(name)
            information.compress_type = zipfile.ZIP_DEFLATED
            information.external_attr = _FILE_MODE << 16
            archive.writestr(information, path.read_bytes())


def _make_command(
    site: pathlib.Path, output: pathlib.Path, options: t.Iterable[str]
) -> list[str]:
    version = f'{sys.version_info.major}.{sys.version_info.minor}'
    return [
        sys.executable,
        '-m',
        'shiv',
        '--site-packages',
        str(site),
        '--entry-point',
        ENTRY_POINT,
        '--output-file',
        str(output),
        '--python',
        # The bundled extension modules need this Python version.
        f'/usr/bin/env python{version}',
        '--compressed',
        '--reproducible',
        *options,
    ]


if __name__ == '__main__':
    build(OUTPUT)
    print(f'{OUTPUT.relative_to(ROOT)}: {OUTPUT.stat().st_size} bytes')

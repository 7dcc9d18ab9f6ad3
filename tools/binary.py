"""Builds the one shipped file: ``make binary``.

The libraries come from the environment that runs this tool, at exactly
the versions that ``requirements.txt`` pins, so that building needs no
network. Why shiv: docs/BINARY.md.
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

# hdrhistogram declares them as if it ran with them; its modules import
# neither.
_DECLARED_ONLY = frozenset({'pbr', 'setuptools'})


class WrongVersion(Exception):
    """The environment has another version than is pinned."""


def read_pins(text: str) -> dict[str, str]:
    """Return the pinned versions of the libraries that are shipped."""
    pins = {}
    for line in text.splitlines():
        name, separator, version = line.partition('==')
        if separator and name not in _DECLARED_ONLY:
            pins[name] = version.strip()
    return pins


def collect(site: pathlib.Path) -> None:
    """Copy the package and its pinned libraries to one folder.

    Raises
    ------
    WrongVersion
        If the environment does not have what is pinned.
    """
    pins = read_pins(REQUIREMENTS.read_text(encoding='utf-8'))
    for name, version in pins.items():
        found = importlib.metadata.distribution(name)
        if found.version != version:
            raise WrongVersion(f'{name}: {found.version}, not {version}')
        _copy_distribution(found, site)
    shutil.copytree(
        PACKAGE,
        site / PACKAGE.name,
        ignore=shutil.ignore_patterns('__pycache__'),
    )


def compile_sources(site: pathlib.Path) -> None:
    """Compile all modules ahead of a process's first start.

    A process that compiles while it starts is slower and keeps some
    megabytes more for its whole life.
    """
    compileall.compile_dir(
        site,
        quiet=2,
        stripdir=str(site),
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )


def _copy_distribution(
    found: importlib.metadata.Distribution, site: pathlib.Path
) -> None:
    for file in found.files or ():
        outside = '..' in file.parts
        if outside or '__pycache__' in file.parts:
            continue
        target = site / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def build(output: pathlib.Path, *options: str) -> None:
    """Write the one file; further options go to shiv."""
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
    # shiv passes compiled modules over.
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
        # Compiled libraries inside fit this version of the language.
        f'/usr/bin/env python{version}',
        '--compressed',
        '--reproducible',
        *options,
    ]


if __name__ == '__main__':
    build(OUTPUT)
    print(f'{OUTPUT.relative_to(ROOT)}: {OUTPUT.stat().st_size} bytes')

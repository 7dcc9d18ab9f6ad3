import ast
import importlib.util
import pathlib
import re

from tests import base

ROOT = pathlib.Path(__file__).parent.parent
FOLDERS = ('src', 'standins', 'tests', 'tools')
GENERATED = re.compile(r'_(pb2|grpc)\.py$')
HOST_NAME = re.compile(
    r'\b[a-z0-9-]+(?:\.[a-z0-9-]+)*\.(?:com|org|net|io|dev|internal)\b'
)


def list_sources() -> list[pathlib.Path]:
    """Return all of our own modules."""
    return [
        path
        for folder in FOLDERS
        for path in sorted((ROOT / folder).rglob('*.py'))
        if not GENERATED.search(path.name)
    ]


def list_texts() -> list[pathlib.Path]:
    """Return every file that a clone has and a person reads."""
    kinds = ('*.md', '*.ini', '*.txt', '*.toml', '*.json', '*.proto')
    files = [path for kind in kinds for path in ROOT.glob(kind)]
    for folder in ('docs', 'examples', 'src', '.ci'):
        files += [
            path
            for path in (ROOT / folder).rglob('*')
            if path.is_file()
            and '__pycache__' not in path.parts
            and not GENERATED.search(path.name)
        ]
    return [
        *list_sources(),
        *[path for path in files if '.egg-info' not in str(path)],
        ROOT / 'Makefile',
    ]


def is_module(parent: str, name: str) -> bool:
    try:
        return importlib.util.find_spec(f'{parent}.{name}') is not None
    except ModuleNotFoundError:
        return False


class StyleTest(base.TestCase):
    def test_modules_are_imported_not_names(self):
        """The linter has no such check any more."""
        found = [
            f'{path.relative_to(ROOT)}:{node.lineno} {alias.name}'
            for path in list_sources()
            for node in ast.walk(ast.parse(path.read_text(encoding='utf-8')))
            if isinstance(node, ast.ImportFrom)
            for alias in node.names
            if not is_module(node.module, alias.name)
        ]
        self.assertEqual([], found)

    def test_no_file_names_a_host(self):
        found = []
        for path in set(list_texts()):
            text = path.read_text(encoding='utf-8')
            found += [
                f'{path.relative_to(ROOT)}: {name}'
                for name in HOST_NAME.findall(text)
            ]
        self.assertEqual([], found)

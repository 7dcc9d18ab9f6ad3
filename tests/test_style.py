import ast
import importlib.util
import pathlib
import re
import tomllib

from tests import base

ROOT = pathlib.Path(__file__).parent.parent
FOLDERS = ('src', 'standins', 'tests', 'tools')
GENERATED = re.compile(r'_(pb2|grpc)\.py$')
HOST_NAME = re.compile(
    r'\b[a-z0-9-]+(?:\.[a-z0-9-]+)*\.(?:com|org|net|io|dev|internal)\b'
)

LINK = re.compile(r'\]\((?!#)([^):]+?)(?:#[^)]*)?\)')


def list_sources() -> list[pathlib.Path]:
    """Return all modules that are not generated."""
    return [
        path
        for folder in FOLDERS
        for path in sorted((ROOT / folder).rglob('*.py'))
        if not GENERATED.search(path.name)
    ]


def list_texts() -> list[pathlib.Path]:
    """Return every text file of the repository."""
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
        """The linter no longer has this check."""
        found = [
            f'{path.relative_to(ROOT)}:{node.lineno} {alias.name}'
            for path in list_sources()
            for node in ast.walk(ast.parse(path.read_text(encoding='utf-8')))
            if isinstance(node, ast.ImportFrom)
            for alias in node.names
            if not is_module(node.module, alias.name)
        ]
        self.assertEqual([], found)

    def test_no_file_contains_a_host_name(self):
        found = []
        for path in set(list_texts()):
            text = path.read_text(encoding='utf-8')
            found += [
                f'{path.relative_to(ROOT)}: {name}'
                for name in HOST_NAME.findall(text)
            ]
        self.assertEqual([], found)

    def test_every_link_between_pages_resolves(self):
        pages = [*ROOT.glob('*.md'), *(ROOT / 'docs').glob('*.md')]
        broken = [
            f'{page.name}: {target}'
            for page in pages
            for target in LINK.findall(page.read_text(encoding='utf-8'))
            if not (page.parent / target).exists()
        ]
        self.assertEqual([], broken)

    def test_every_dependency_is_pinned(self):
        for name in ('requirements.txt', 'test-requirements.txt'):
            for line in (ROOT / name).read_text('utf-8').splitlines():
                if not line.startswith(('#', '-r ')):
                    self.assertRegex(line, r'^[\w-]+==[\w.]+$', name)

    def test_package_declares_the_pinned_versions(self):
        project = tomllib.loads((ROOT / 'pyproject.toml').read_text('utf-8'))
        pinned = (ROOT / 'requirements.txt').read_text('utf-8').lower()
        for dependency in project['project']['dependencies']:
            self.assertIn(f'\n{dependency}\n', pinned)

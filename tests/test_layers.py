"""Checks that imports between the package's folders follow the layers."""

import ast
import pathlib

from tests import base

PACKAGE = pathlib.Path(__file__).parent.parent / 'src' / 'persimmonsail'
# From lowest to highest; a folder imports from itself and from lower layers.
# The package's top level contains the shared modules and the command line.
LAYERS = (
    '',
    'catalogues',
    'bookkeeping',
    'decisions',
    'sidecars',
    'partitioning',
    'callers',
    'auditing',
    'operators',
    'jobs',
    'platform',
)
# Jobs and the older path share only the top-level modules and decisions.
JOBS_IMPORTS = {'', 'decisions', 'jobs'}
PLATFORM_IMPORTS = JOBS_IMPORTS | {'platform'}
# The command line starts all roles, so it may import from every layer.
EXEMPT_MODULES = {'__main__.py', 'cli.py'}


def get_folder(path):
    folder = path.relative_to(PACKAGE).parent.as_posix()
    return '' if folder == '.' else folder


def list_imports(path):
    """Return the folders that a module imports from."""
    folders = set()
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if not isinstance(node, ast.ImportFrom) or not node.module:
            continue
        package, _, folder = node.module.partition('.')
        if package == 'persimmonsail':
            folders.add(folder)
    return folders


class LayersTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.paths = [
            path
            for path in sorted(PACKAGE.rglob('*.py'))
            if path.relative_to(PACKAGE).as_posix() not in EXEMPT_MODULES
        ]

    def test_every_folder_has_a_layer(self):
        folders = {get_folder(path) for path in self.paths}
        self.assertEqual(set(LAYERS), folders)

    def test_imports_only_from_lower_layers(self):
        violations = [
            f'{path.relative_to(PACKAGE)} imports from {folder}'
            for path in self.paths
            for folder in list_imports(path)
            if LAYERS.index(folder) > LAYERS.index(get_folder(path))
        ]
        self.assertEqual([], violations)

    def test_jobs_do_not_import_the_older_path(self):
        """An entry on the platform loads catalogue modules that it never uses.

        Each imported module adds to the memory of a process.
        """
        allowed = {'jobs': JOBS_IMPORTS, 'platform': PLATFORM_IMPORTS}
        violations = [
            f'{path.relative_to(PACKAGE)} imports from {folder}'
            for path in self.paths
            for folder in list_imports(path)
            if folder not in allowed.get(get_folder(path), LAYERS)
        ]
        self.assertEqual([], violations)

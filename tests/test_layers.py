"""The modules of the package have no circular imports."""

import ast
from graphlib import TopologicalSorter
from pathlib import Path
from typing import Final

PACKAGE: Final = 'gentianpulley'
SOURCES: Final = Path(__file__).parent.parent / 'src'


def _module_name(path: Path) -> str:
    name = '.'.join(path.relative_to(SOURCES).with_suffix('').parts)
    return name.removesuffix('.__init__')


def _imported(path: Path) -> set[str]:
    """Return the modules that a file imports names from, also for types."""
    tree = ast.parse(path.read_text())
    return {
        node.module
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module
    }


def test_no_module_imports_itself_through_others() -> None:
    paths = [
        path
        for path in (SOURCES / PACKAGE).rglob('*.py')
        if 'peer_gen' not in path.parts
    ]
    names = {_module_name(path) for path in paths}
    graph = {_module_name(path): _imported(path) & names for path in paths}
    assert list(TopologicalSorter(graph).static_order())

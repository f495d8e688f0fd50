"""Modules import only from their own layer and from lower layers."""

from __future__ import annotations

import ast
from pathlib import Path

import dunehold

ROOT = Path(dunehold.__file__).parent
# Lowest layer first. A module may import from its own layer and from those before it.
LAYERS = (
    ("dunehold.types",),
    ("dunehold.transport",),
    ("dunehold.protocol",),
    ("dunehold.budgets",),
    ("dunehold.settings",),
    ("dunehold.bookkeeping",),
    ("dunehold.coordination.scheduler",),
    ("dunehold.coordination.persistence",),
    ("dunehold.coordination.zones",),
    ("dunehold.coordination.planning",),
    ("dunehold.coordination.fleet",),
    ("dunehold.coordination.maintenance",),
    ("dunehold.coordination.term",),
    ("dunehold.coordination.election", "dunehold.coordination.users"),
    ("dunehold.coordination.node",),
)


def layer_of(module: str) -> int | None:
    """Return the layer of a module, or None for the command line and the emulator.

    These may import from all layers.
    """
    for number, names in enumerate(LAYERS):
        if any(module == name or module.startswith(name + ".") for name in names):
            return number
    return None


def imports(path: Path) -> set[str]:
    """Return the full names that a file imports from dunehold."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module is not None:
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
    return {name for name in found if name.startswith("dunehold")}


def test_no_module_imports_from_a_higher_layer() -> None:
    checked = 0
    for path in sorted(ROOT.rglob("*.py")):
        module = ".".join(["dunehold", *path.relative_to(ROOT).with_suffix("").parts])
        own = layer_of(module)
        if own is None:
            continue
        for name in imports(path):
            other = layer_of(name)
            assert other is not None, f"{module} imports {name}, which is above all layers"
            assert other <= own, f"{module} imports {name} from a layer above its own"
            checked += 1
    assert checked > 100

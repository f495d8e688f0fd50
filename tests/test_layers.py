"""Dependencies point downwards only: between the layers, and inside coordination."""

from __future__ import annotations

import ast
from pathlib import Path

import dunehold

ROOT = Path(dunehold.__file__).parent
# The lowest first. A module may import from its own part and from those before it.
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
    """The layer of a module; None for the command line and the emulator, which use all."""
    for number, names in enumerate(LAYERS):
        if any(module == name or module.startswith(name + ".") for name in names):
            return number
    return None


def imports(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module is not None:
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
    return {name for name in found if name.startswith("dunehold")}


def test_nothing_imports_from_a_layer_above() -> None:
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

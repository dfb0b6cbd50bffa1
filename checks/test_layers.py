"""The layers of docs/ARCHITECTURE.md: a package imports only packages of lower layers."""

import re
from pathlib import Path

import grimp
import pytest

ROOT = "dappledrum"
#: From top to bottom; packages of one layer do not import each other.
LAYERS = (
    {"main"},
    {"controller"},
    {"leader", "membership"},
    {"dispatch", "learning"},
    {"user_api"},
    {"accounting"},
    {"fleet"},
    {"recovery"},
    {"workers"},
    {"gangs"},
    {"dependencies"},
    {"jobs"},
    {"scheduling"},
    {"peers"},
    {"election"},
    {"store"},
    {"http"},
    {"settings"},
    {"timing"},
)
#: Packages for tests, measurements and models, which may import any other.
UNLAYERED = {"golden", "model", "scale", "simulation"}
LEVEL = {name: level for level, names in enumerate(LAYERS) for name in names}


def _package(module: str) -> str:
    """Return the package of a module below the root, or the module itself if it is in none."""
    return module.split(".")[1]


def _is_service(module: str) -> bool:
    parts = module.split(".")
    return len(parts) > 1 and parts[1] not in UNLAYERED and not parts[-1].startswith("test_")


@pytest.fixture(scope="module")
def imports():
    """Pairs of a service module and a module of another package that it imports."""
    graph = grimp.build_graph(ROOT, cache_dir=None)
    modules = sorted(filter(_is_service, graph.modules))
    return [
        (module, imported)
        for module in modules
        for imported in sorted(graph.find_modules_directly_imported_by(module))
        if len(imported.split(".")) > 1 and _package(imported) != _package(module)
    ]


def test_service_packages_import_only_lower_layers(imports):
    upward = [
        f"{module} -> {imported}"
        for module, imported in imports
        if _package(imported) in UNLAYERED or LEVEL[_package(imported)] <= LEVEL[_package(module)]
    ]
    assert not upward, "imports against the layers"


def test_every_package_has_a_layer():
    root = Path(__file__).parents[1] / ROOT
    packages = {path.parent.name for path in root.glob("*/__init__.py")}
    modules = {path.stem for path in root.glob("*.py")} - {"__init__", "conftest"}
    module_names = {name for name in modules if not re.match("test_", name)}
    assert packages | module_names == set(LEVEL) | UNLAYERED

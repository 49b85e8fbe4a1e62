"""Tests of the dependencies that each package declares."""

import ast
from importlib import metadata
import pathlib
import sys
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PROJECTS = sorted(ROOT.glob("libs/*/pyproject.toml"))
PROJECTS.append(ROOT / "platform" / "pyproject.toml")
DISTRIBUTIONS_BY_MODULE = metadata.packages_distributions()


def find_imports(src):
    """Returns the top-level modules that the files below `src` import."""
    found = set()
    for path in src.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            names = []
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            elif isinstance(node, ast.ImportFrom) and node.module:
                names = [node.module]
            found.update(name.partition(".")[0] for name in names)
    return found - sys.stdlib_module_names


def find_distribution(module):
    """Returns the normalized name of the distribution with a module."""
    name = module
    if not module.startswith("banyandale"):
        (name, *_) = DISTRIBUTIONS_BY_MODULE[module]
    return name.lower().replace("_", "-")


@pytest.mark.parametrize(
    "path", PROJECTS, ids=lambda path: path.parent.relative_to(ROOT).as_posix()
)
def test_imports_are_declared(path):
    """Guards against an installed program that fails at its first import.

    `make dist` installs only the declared dependencies, while the tests run in
    an environment with all of them.
    """
    project = tomllib.loads(path.read_text())["project"]
    declared = {name.lower() for name in project["dependencies"]}
    own = {item.name for item in (path.parent / "src").iterdir()}
    needed = {
        find_distribution(module)
        for module in find_imports(path.parent / "src") - own
    }
    assert needed <= declared

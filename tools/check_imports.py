"""Checks that project code imports modules, not names.

The Google Python Style Guide requires `from package import module`. Ruff has
no rule for it, so this script resolves each `from banyandale_x import y` and
reports it unless `y` is a module. Package `__init__.py` files are exempt,
because they re-export the public names of their private modules.
"""

import ast
import pathlib
import sys

# Modules from which names may be imported.
EXEMPT_MODULES = frozenset({"__future__", "typing", "collections.abc"})


def find_modules(roots: list[pathlib.Path]) -> set[str]:
    """Returns the dotted names of all project modules below the roots."""
    modules = set()
    sources = [src for root in roots for src in root.glob("**/src")]
    for src in sources:
        for path in src.rglob("*.py"):
            parts = path.relative_to(src).with_suffix("").parts
            if parts[-1] == "__init__":
                parts = parts[:-1]
            modules.add(".".join(parts))
    return modules


def check_file(path: pathlib.Path, modules: set[str]) -> list[str]:
    """Returns one message per imported name that is not a module."""
    problems = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom):
            continue
        if node.module in EXEMPT_MODULES:
            continue
        if not (node.module or "").startswith("banyandale"):
            continue
        for alias in node.names:
            if f"{node.module}.{alias.name}" not in modules:
                problems.append(
                    f"{path}:{node.lineno}: imports name {alias.name!r} from"
                    f" {node.module}; import the module instead"
                )
    return problems


def main() -> int:
    """Checks every file below the folders given on the command line."""
    roots = [pathlib.Path(argument) for argument in sys.argv[1:]]
    modules = find_modules(roots)
    problems = []
    for root in roots:
        for path in sorted(root.rglob("*.py")):
            if path.name != "__init__.py":
                problems.extend(check_file(path, modules))
    print("\n".join(problems) or "imports: ok")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())

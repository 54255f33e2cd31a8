"""No private attribute of a library is touched in roadlb/, so that a minor release of one breaks nothing.

A name that begins with one underscore is private to the module that has it.  Here a module may use such a
name only if it defines it itself, and no class may define one that a library's base class uses.
"""

from __future__ import annotations

import ast
import importlib
import sys
import types
from collections.abc import Iterator
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2] / "roadlb"

# Files that touch private parts of a library.  The list may only get shorter.
KNOWN: set[str] = set()

# Of libraries that document which of their modules are public.
PUBLIC_MODULES = {"aiohttp": {"aiohttp", "aiohttp.abc", "aiohttp.web"}}

# Documented for makers of loops and tasks, in spite of their names ("Extending", in asyncio's documentation).
DOCUMENTED = {"_register_task", "_unregister_task", "_enter_task", "_leave_task"}


def private(name: str) -> bool:
    return name.startswith("_") and not name.startswith("__") and name != "_" and name not in DOCUMENTED


def own_names(tree: ast.AST) -> set[str]:
    """The names that a module defines: functions, classes, variables, and attributes of `self` or `cls`."""
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            names.add(node.name)
        elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store):
            names.add(node.id)
        elif (
            isinstance(node, ast.Attribute)
            and isinstance(node.ctx, ast.Store)
            and isinstance(node.value, ast.Name)
            and node.value.id in ("self", "cls")
        ):
            names.add(node.attr)
    return names


def touched(tree: ast.AST) -> Iterator[tuple[int, str]]:
    """Line and name of each private thing used that the module does not define itself."""
    own = own_names(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute) and private(node.attr) and node.attr not in own:
            yield node.lineno, node.attr
        elif (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Name)
            and len(node.args) > 1
            and node.func.id in ("getattr", "setattr", "hasattr", "delattr")
            and isinstance(name := node.args[1], ast.Constant)
            and private(str(name.value))
        ):
            yield node.lineno, str(name.value)
        elif isinstance(node, ast.Import | ast.ImportFrom):
            names = [alias.name for alias in node.names]
            modules = [node.module or ""] if isinstance(node, ast.ImportFrom) else names
            for module in modules:
                public = PUBLIC_MODULES.get(module.partition(".")[0])
                if public is not None and module not in public:
                    yield node.lineno, module
            yield from (
                (node.lineno, name)
                for name in {*names, *modules}
                if any(private(part) for part in name.split("."))
            )


def names_used(base: type) -> set[str]:
    """The attributes that a class written in Python has, and those that its functions use."""
    codes = [member.__code__ for member in vars(base).values() if isinstance(member, types.FunctionType)]
    return set(vars(base)).union(*(code.co_names for code in codes))


def overridden(module: types.ModuleType, tree: ast.AST) -> Iterator[str]:
    """Private names in classes of this module that a library's base class has or uses too."""
    for node in ast.walk(tree):
        found = getattr(module, node.name, None) if isinstance(node, ast.ClassDef) else None
        if isinstance(found, type):
            bases = [
                base
                for base in found.__mro__[1:]
                if base.__module__.partition(".")[0] not in sys.stdlib_module_names | {"roadlb"}
            ]
            used = {name for base in bases for name in names_used(base)}
            yield from (f"{found.__name__}.{name}" for name in own_names(node) & used if private(name))


def faults(path: Path) -> list[str]:
    tree = ast.parse(path.read_text())
    name = ".".join(path.relative_to(PACKAGE.parent).with_suffix("").parts).removesuffix(".__init__")
    module = importlib.import_module(name)
    return [f"line {line}: {what}" for line, what in touched(tree)] + list(overridden(module, tree))


def test_only_the_known_files_touch_private_parts_of_others() -> None:
    found = {str(path.relative_to(PACKAGE)): faults(path) for path in PACKAGE.rglob("*.py")}
    found = {path: what for path, what in found.items() if what}
    assert not {path: what for path, what in found.items() if path not in KNOWN}
    assert set(found) == KNOWN, "a file is clean now: take it from KNOWN"


def test_no_name_of_a_package_is_that_of_a_module_in_it() -> None:
    """Whoever imports the module first puts it in the place of the function, for the rest of the process."""
    for package in PACKAGE.rglob("__init__.py"):
        within = {path.stem for path in package.parent.iterdir() if path.suffix == ".py" or path.is_dir()}
        defined = {getattr(node, "name", None) for node in ast.parse(package.read_text()).body}
        assert not within & defined, f"{package}: rename one of {sorted(within & defined)}"


@pytest.mark.parametrize(
    "line, caught",
    [
        ("connector._conns.clear()", ["_conns"]),
        ("self.transport._sock", ["_sock"]),
        ("self._resume()", ["_resume"]),
        ("getattr(loop, '_selector')", ["_selector"]),
        ("from uvloop import _noop", ["_noop"]),
        ("import aiohttp._http_parser", ["aiohttp._http_parser", "aiohttp._http_parser"]),
        ("from aiohttp.client_proto import ResponseHandler", ["aiohttp.client_proto"]),
        ("from . import _own", ["_own"]),
        ("def _own(): ...\nx._own()", []),
        ("class A:\n    _b = 1\n    def c(self, other): self._d = other._b\ndef e(a): return a._d", []),
        ("import uvloop\nuvloop.__version__, _ = 1, 2", []),
        ("from __future__ import annotations", []),
    ],
)
def test_the_walk_finds_private_names(line: str, caught: list[str]) -> None:
    assert [name for _, name in touched(ast.parse(line))] == caught


def test_an_override_of_a_librarys_private_name_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    source = "class Mine(Theirs):\n    _hook = 1\n    _kept = 2\n    def _own(self): ...\n"
    theirs = types.ModuleType("theirs")
    exec("class Theirs:\n    def _hook(self): self._kept = 1\n", vars(theirs))
    module = types.ModuleType("mine")
    vars(module)["Theirs"] = vars(theirs)["Theirs"]
    exec(source, vars(module))
    assert sorted(overridden(module, ast.parse(source))) == ["Mine._hook", "Mine._kept"]

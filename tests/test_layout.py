"""Import rules: the core and steering packages do no input or output.

The platform package may use the steering types but not its decisions.
"""

import ast
import pathlib

import pytest

SOURCE = pathlib.Path(__file__).parent.parent / "src" / "banyanshed"
# Modules that do input or output or read clocks.
EDGE_MODULES = frozenset(
    {
        "asyncio",
        "capnp",
        "cheroot",
        "cherrypy",
        "http",
        "os",
        "selectors",
        "signal",
        "socket",
        "subprocess",
        "threading",
        "time",
        "urllib3",
    }
)
EDGE_PACKAGES = ("banyanshed.edges", "banyanshed.gateway")


def imported_names(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom):
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


@pytest.mark.parametrize("package", ["core", "steering"])
def test_core_and_steering_import_no_input_or_output(package):
    for path in (SOURCE / package).glob("*.py"):
        for name in imported_names(path):
            assert name.split(".")[0] not in EDGE_MODULES, (path, name)
            assert not name.startswith(EDGE_PACKAGES), (path, name)


def test_platform_package_uses_no_steering_decisions():
    # Only modules with data types of the steering may be imported.
    allowed = {"budgets", "models"}
    for path in (SOURCE / "platform").glob("*.py"):
        for name in imported_names(path):
            package, _, module = name.rpartition(".")
            if package == "banyanshed.steering":
                assert module in allowed, (path, name)

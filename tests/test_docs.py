"""The documentation cites only tests and files that exist, and so does KNOWN-RED.txt."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
DOCUMENTS = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
MAX_KNOWN_RED_TESTS = 3


def existing_tests() -> set[str]:
    """Return all test functions, in the form `tests/test_x.py::test_y`."""
    return {
        f"tests/{path.name}::{node.name}"
        for path in (ROOT / "tests").glob("test_*.py")
        for node in ast.parse(path.read_text()).body
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef) and node.name.startswith("test_")
    }


def test_tests_cited_in_races_exist():
    # Also finds citations by a part of the name only, which don't have the full form.
    cited = set(re.findall(r"[^\s`]*test_[^\s`]*", (ROOT / "docs" / "races.md").read_text()))
    assert cited and cited <= existing_tests(), cited - existing_tests()


@pytest.mark.parametrize("document", DOCUMENTS, ids=lambda path: path.name)
def test_python_files_in_code_spans_exist(document: Path):
    missing = []
    for line in document.read_text().splitlines():
        paths = re.findall(r"`([^\s`]+\.py)(?:::[^\s`]*)?`", line)
        # In a table row, later paths may be relative to the directory of the first one.
        directories = [ROOT, (ROOT / paths[0]).parent] if paths and line.startswith("|") else [ROOT]
        missing += [path for path in paths if not any((d / path).is_file() for d in directories)]
    assert not missing


def test_known_red_tests_exist_and_are_few():
    tests = re.findall(r"^test: (.*)$", (ROOT / "KNOWN-RED.txt").read_text(), re.M)
    assert set(tests) <= existing_tests(), set(tests) - existing_tests()
    assert len(tests) <= MAX_KNOWN_RED_TESTS

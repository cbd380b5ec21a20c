"""Documentation pages must only name modules, classes and files that exist.

The sources are parsed, never imported. These names in backticks are checked: dotted names that
begin with a package of eldercart or with a test module, names in table columns headed "module" or
"owner", class names without a module, and paths in the repository.
"""

import ast
import re
from dataclasses import dataclass
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / "src" / "eldercart"
TESTS = ROOT / "tests"
PAGES = [
    ROOT / "README.md",
    ROOT / "docs" / "architecture.md",
    ROOT / "docs" / "glossary.md",
    ROOT / "docs" / "design.md",
    ROOT / "docs" / "design-duties.md",
    *sorted((ROOT / "docs").glob("operations*.md")),
]
MODULE_COLUMNS = ("module", "owner")  # headers of columns that hold only module names
REPOSITORY_FOLDERS = ("src", "tests", "docs", "deploy", "benchmarks", "journal")
# Fields of the platform's settings file, which have the same prefix as the package `settings`.
PLATFORM_FIELDS = re.compile(r"settings\.(state|cloud|workers|teams|objectives|members)\b")
THIRD_PARTY_PACKAGES = ("twisted",)
FILE_SUFFIXES = ("json", "toml", "md", "txt", "py")

CODE_SPAN = re.compile(r"`([^`\n]+)`")
DOTTED_NAME = re.compile(r"(?<![\w./-])[A-Za-z_]\w*(?:\.[A-Za-z_]\w*)+(?![\w/-])")
CLASS_NAME = re.compile(r"(?<![\w./-])[A-Z][a-z]+(?:[A-Z][a-z]+)+(?![\w/-])")
FILE_PATH = re.compile(rf"(?<![\w./-])(?:{'|'.join(REPOSITORY_FOLDERS)})/[\w./-]*\w")
INDENTED_CODE = re.compile(r"^ {4}")


@dataclass(frozen=True, slots=True)
class CodeSpan:
    """A text in backticks and its position on the page."""

    line_number: int
    text: str
    is_module_column: bool


# -- the sources


@cache
def modules() -> dict[str, Path]:
    """Return the path of each module and package of eldercart and the tests, by dotted name."""
    found: dict[str, Path] = {}
    for path in SOURCES.rglob("*.py"):
        parts = path.relative_to(SOURCES).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    del found[""]
    for path in TESTS.glob("*.py"):
        found[path.stem] = path
    for path in (TESTS / "versions").rglob("*.py"):
        found[path.stem] = path
    return found


def is_package(name: str) -> bool:
    """Return whether the name is that of a package."""
    return modules()[name].name == "__init__.py"


@cache
def defined_names(name: str) -> frozenset[str]:
    """Return the names defined at the top level of a module; for a package, also imported names."""
    names: set[str] = set()
    for node in ast.parse(modules()[name].read_text()).body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(node.name)
        elif isinstance(node, ast.Assign):
            names |= {t.id for target in node.targets for t in ast.walk(target) if _is_name(t)}
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            names.add(node.target.id)
        elif isinstance(node, ast.ImportFrom) and is_package(name):
            names |= {alias.asname or alias.name for alias in node.names}
    return frozenset(names)


def _is_name(node: ast.AST) -> bool:
    return isinstance(node, ast.Name)


@cache
def all_classes() -> frozenset[str]:
    """Return all top-level names of all modules: classes, type aliases, test helpers and others."""
    return frozenset(name for module in modules() for name in defined_names(module))


# -- the pages


def code_spans(page: Path) -> list[CodeSpan]:
    """Return the texts in backticks on a page, except in code blocks."""
    spans: list[CodeSpan] = []
    headers: list[str] = []
    in_block = False
    for number, line in enumerate(page.read_text().splitlines(), 1):
        if line.startswith("```"):
            in_block = not in_block
        if in_block or line.startswith("```") or INDENTED_CODE.match(line):
            continue
        if not line.startswith("|"):
            headers = []
            spans += [CodeSpan(number, text, False) for text in CODE_SPAN.findall(line)]
            continue
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        headers = headers or [cell.lower() for cell in cells]
        for column, cell in enumerate(cells):
            is_module = column < len(headers) and headers[column] in MODULE_COLUMNS
            spans += [CodeSpan(number, text, is_module) for text in CODE_SPAN.findall(cell)]
    return spans


def complaint_about_name(name: str) -> str | None:
    """Return what is wrong with a dotted name or one from a module column; None if it exists."""
    parts = name.removeprefix("eldercart.").split(".")
    length = next((n for n in range(len(parts), 0, -1) if ".".join(parts[:n]) in modules()), 0)
    if not length:
        return "no such module"
    module, rest = ".".join(parts[:length]), parts[length:]
    if not rest:
        return None
    if is_package(module) and rest[0] not in defined_names(module):
        return f"neither a module nor a name of the package {module}"
    if re.match(r"_?[A-Z][a-z]", rest[0]) and rest[0] not in defined_names(module):
        return f"no such class in {module}"
    return None


def is_exempt(name: str) -> bool:
    """Return whether a dotted name is not checked: of a file, a setting, a library or a member."""
    first, _, _ = name.partition(".")
    if PLATFORM_FIELDS.match(name) or first in THIRD_PARTY_PACKAGES:
        return True
    if name.rpartition(".")[2] in FILE_SUFFIXES:
        return True
    # A module's name begins with a package; `state.rps` or `Class.member` does not.
    return first not in top_level_names() and not first.startswith("test_")


@cache
def top_level_names() -> frozenset[str]:
    """Return the first parts of all module names, and former package names of eldercart.

    Former names are included so that a page that still uses one is reported.
    """
    return frozenset(name.partition(".")[0] for name in modules()) | {"eldercart", "core", "net"}


def complaints_about(span: CodeSpan) -> list[str]:
    """Return a line for each name or path in the span that doesn't exist in the repository."""
    found: list[str] = []
    dotted = DOTTED_NAME.findall(span.text)
    if span.is_module_column and not dotted and re.fullmatch(r"[a-z_]+", span.text):
        dotted = [span.text]
    for name in dotted:
        complaint = None
        if span.is_module_column or not is_exempt(name):
            complaint = complaint_about_name(name)
        if complaint is not None:
            found.append(f"{name}: {complaint}")
    for name in CLASS_NAME.findall(span.text):
        if name not in all_classes():
            found.append(f"{name}: no such class")
    for path in FILE_PATH.findall(span.text):
        if not re.search(r"[*<]", span.text) and not (ROOT / path).exists():
            found.append(f"{path}: no such file")
    return [f"line {span.line_number}: {text}" for text in found]


def complaints_about_page(page: Path) -> list[str]:
    """Return the complaints about all spans, in the order of the page."""
    return [text for span in code_spans(page) for text in complaints_about(span)]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_names_on_a_page_exist(page: Path) -> None:
    assert complaints_about_page(page) == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_made_up_names_on_a_page_are_found(page: Path, tmp_path: Path) -> None:
    """The check must report each made-up name that is added to a page, and nothing else."""
    made_up = [
        "`scheduling.no_such_module`",
        "`eldercart.no_such_package.module`",
        "`core.jobs`",
        "`scheduling.scheduler.NoSuchClass`",
        "`scheduling.scheduler.NoSuchClass.member`",
        "`NoSuchClassAnywhere`",
        "`src/eldercart/scheduling/no_such_module.py`",
        "`test_no_such_module.test_case`",
        "",
        "| term | owner |\n| --- | --- |\n| x | `nosuchmodule` |",
    ]
    copy = tmp_path / page.name
    copy.write_text(page.read_text() + "\n\n" + "\n".join(made_up) + "\n")
    found = complaints_about_page(copy)
    assert len(found) == len(complaints_about_page(page)) + len(made_up) - 1


def test_architecture_page_names_many_modules() -> None:
    """Guards against a check that finds no names on a page and therefore always passes."""
    architecture = ROOT / "docs" / "architecture.md"
    texts = [span.text for span in code_spans(architecture)]
    assert sum(text in modules() for text in texts) > 50

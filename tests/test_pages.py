"""The pages name modules, classes and files that exist.

The sources are parsed, never imported. Checked are names in backticks: dotted names that begin with
a package of eldercart or with a test module, names in the columns of tables that tell modules or
owners, class names standing alone, and paths below the repository.
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
MODULE_COLUMNS = ("module", "owner")  # headers of columns that hold nothing but such names
REPOSITORY_FOLDERS = ("src", "tests", "docs", "deploy", "benchmarks", "journal")
# Fields of the platform's settings file, which begin like the package `settings`.
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
    """A name in backticks, and where it stands."""

    line_number: int
    text: str
    is_module_column: bool


# -- the sources


@cache
def modules() -> dict[str, Path]:
    """Path of each module and package of eldercart and of the tests, by dotted name."""
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
    """Whether modules lie below that name."""
    return modules()[name].name == "__init__.py"


@cache
def defined_names(name: str) -> frozenset[str]:
    """What the module defines at its top level; of a package, also what it imports there."""
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
    """The names of all classes, type aliases and test helpers, wherever they are defined."""
    return frozenset(name for module in modules() for name in defined_names(module))


# -- the pages


def code_spans(page: Path) -> list[CodeSpan]:
    """The names in backticks, without blocks of code."""
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
    """What is wrong with a dotted name, or with one from a column of modules; None: nothing."""
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
    """Whether the dotted name is of a file, a settings field or a library."""
    first, _, _ = name.partition(".")
    if PLATFORM_FIELDS.match(name) or first in THIRD_PARTY_PACKAGES:
        return True
    if name.rpartition(".")[2] in FILE_SUFFIXES:
        return True
    # `state.rps`, `settings.state.next` or `Class.member`: a module's name begins with a package.
    return first not in top_level_names() and not first.startswith("test_")


@cache
def top_level_names() -> frozenset[str]:
    """The packages and modules directly below eldercart, those of the tests, and the package
    names that eldercart had before (they must not come back on a page)."""
    return frozenset(name.partition(".")[0] for name in modules()) | {"eldercart", "core", "net"}


def complaints_about(span: CodeSpan) -> list[str]:
    """All that a name in backticks claims and the sources don't hold."""
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
    """All complaints, in the order of the page."""
    return [text for span in code_spans(page) for text in complaints_about(span)]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_what_a_page_names_exists(page: Path) -> None:
    assert complaints_about_page(page) == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_made_up_names_on_a_page_are_found(page: Path, tmp_path: Path) -> None:
    """The check itself: each line added to the page is complained about, and nothing else."""
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


def test_pages_name_modules() -> None:
    """So many names are checked that an empty list of complaints says something."""
    architecture = ROOT / "docs" / "architecture.md"
    texts = [span.text for span in code_spans(architecture)]
    assert sum(text in modules() for text in texts) > 50

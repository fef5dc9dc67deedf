"""Read and write bundle files.

Operators write bundles in YAML; signed bundles are stored in JSON.
"""

import re
from datetime import date, datetime
from pathlib import Path

import msgspec
import yaml

from bluebellshore.bundle.checks import check_bundle
from bluebellshore.bundle.delta import SECTIONS
from bluebellshore.bundle.model import (
    Budget,
    Bundle,
    Customer,
    Move,
    Route,
    SignedBundle,
    Version,
)
from bluebellshore.decoding import decode_json
from bluebellshore.errors import BundleError

__all__ = [
    "bundle_to_yaml",
    "encode_signed",
    "load_bundle",
    "load_signed",
    "parse_bundle",
]

PARSE_STEP = "bundle.parse"
ENTRY_TYPE_BY_SECTION = {
    "customers": Customer,
    "budgets": Budget,
    "versions": Version,
    "routes": Route,
    "moves": Move,
}
MAX_FILE_BYTES = 64 * 1024 * 1024

_YamlLoader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_YamlDumper = getattr(yaml, "CSafeDumper", yaml.SafeDumper)
_ERROR_PATH_PATTERN = re.compile(r" - at `(?:key in )?\$(?P<path>[^`]*)`$")
_INDEX_PATTERN = re.compile(r"\[(\d+)\]")


def _find_child(node: yaml.Node, path: str) -> tuple[yaml.Node, yaml.Node, str] | None:
    """Find the child of `node` that `path` begins with.

    :return: the child's key node, its value node and the rest of the path; a list
        element has no key, so its value node comes twice. None when there is no
        such child.
    """
    if isinstance(node, yaml.SequenceNode) and (found := _INDEX_PATTERN.match(path)):
        values = node.value[int(found[1]) : int(found[1]) + 1]
        return (values[0], values[0], path[found.end() :]) if values else None
    if isinstance(node, yaml.MappingNode):
        # Ids may contain dots; the longest key that `path` begins with is meant.
        for key, value in sorted(node.value, key=lambda pair: -len(pair[0].value)):
            rest = path.removeprefix(key.value)
            if path.startswith(key.value) and (not rest or rest[0] in ".["):
                return key, value, rest
    return None


def _line_number(node: yaml.Node, path: str) -> int:
    """Return the line of the deepest node that exists on `path`, counted from 1."""
    line = node.start_mark.line + 1
    while path and (found := _find_child(node, path.lstrip("."))):
        key, node, path = found
        line = key.start_mark.line + 1
    return line


def _key_problems(node: yaml.Node, path: str = "") -> list[str]:
    """Return the problems of duplicate keys and of keys that are not scalars.

    The YAML loader would keep the last of duplicate keys without an error.

    :param path: path of `node` in the document.
    """
    problems = []
    if isinstance(node, yaml.MappingNode):
        seen_keys = set()
        for key, value in node.value:
            line = key.start_mark.line + 1
            if not isinstance(key, yaml.ScalarNode):
                problems.append(f"{path or 'bundle'}: key is no text (line {line})")
                continue
            location = f"{path}.{key.value}".lstrip(".")
            if key.value in seen_keys:
                problems.append(f"{location}: stands twice (line {line})")
            seen_keys.add(key.value)
            problems += _key_problems(value, location)
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            problems += _key_problems(value, f"{path}[{index}]")
    return problems


def _add_line_number(problem: str, root: yaml.Node) -> str:
    line = _line_number(root, problem.partition(": ")[0])
    return f"{problem} (line {line})"


def _compose(text: str, file_name: str) -> yaml.Node:
    try:
        root = yaml.compose(text, Loader=_YamlLoader)
    except yaml.YAMLError as error:
        raise BundleError(
            [" ".join(str(error).split())], step=PARSE_STEP, peer=file_name
        ) from None
    except (RecursionError, ValueError) as error:
        raise BundleError([str(error)], step=PARSE_STEP, peer=file_name) from None
    if not isinstance(root, yaml.MappingNode):
        raise BundleError(["expected a mapping"], step=PARSE_STEP, peer=file_name)
    return root


def _load_values(text: str, root: yaml.Node, file_name: str) -> dict:
    """Load the document as plain Python values.

    Anchors are refused, as nested aliases can expand without bound.

    :raises BundleError: the document has anchors, duplicate keys or invalid values.
    """
    tokens = yaml.scan(text, Loader=_YamlLoader)
    if any(isinstance(token, yaml.AnchorToken) for token in tokens):
        raise BundleError(["anchors are not accepted"], step=PARSE_STEP, peer=file_name)
    problems = _key_problems(root)
    if problems:
        raise BundleError(problems, step=PARSE_STEP, peer=file_name)
    try:
        return yaml.load(text, Loader=_YamlLoader)
    except (yaml.YAMLError, ValueError, TypeError, OverflowError) as error:
        raise BundleError(
            [" ".join(str(error).split())], step=PARSE_STEP, peer=file_name
        ) from None


def _conversion_problem(value: object, kind: type, path: str) -> str:
    """Return the problem of converting `value` to `kind`, an empty text for none.

    :param path: path of `value` in the document.
    """
    try:
        msgspec.convert(value, kind)
    except (msgspec.ValidationError, RecursionError, OverflowError) as error:
        found = _ERROR_PATH_PATTERN.search(str(error))
        inner_path = found["path"] if found else ""
        location = f"{path}{inner_path}".lstrip(".")
        message = _ERROR_PATH_PATTERN.sub("", str(error))
        return f"{location}: {message}" if location else message
    return ""


def _convert_deadline(move: object, path: str) -> str:
    """Replace a move's YAML time stamp by Unix time in seconds, in place.

    :return: the problem of the time stamp, an empty text for none.
    """
    if not isinstance(move, dict) or not isinstance(move.get("deadline"), date):
        return ""
    deadline = move["deadline"]
    if not isinstance(deadline, datetime) or deadline.tzinfo is None:
        move["deadline"] = 0.0
        return f"{path}.deadline: needs a time and a time zone, e.g. 06:00:00Z"
    move["deadline"] = deadline.timestamp()
    return ""


def _entry_problems(content: dict, section: str) -> list[str]:
    """Return the problems of a section; time stamps of moves are replaced in place."""
    entries = content.get(section, {})
    if not isinstance(entries, dict):
        return [f"{section}: expected a mapping by id"]
    problems = []
    for entry_id, entry in entries.items():
        path = f"{section}.{entry_id}"
        if not isinstance(entry_id, str):
            problems.append(f"{path}: the id is read as {entry_id!r}; quote it")
        if section == "moves":
            problems.append(_convert_deadline(entry, path))
        problems.append(
            _conversion_problem(entry, ENTRY_TYPE_BY_SECTION[section], path)
        )
    return [problem for problem in problems if problem]


def _convert_bundle(content: dict, root: yaml.Node, file_name: str) -> Bundle:
    number = content.get("number")
    if isinstance(number, int):
        content.setdefault("parent", number - 1)
    problems = [p for section in SECTIONS for p in _entry_problems(content, section)]
    # Sections are left empty here, as their problems are in the list already.
    other_fields = {key: {} if key in SECTIONS else content[key] for key in content}
    problems += filter(None, [_conversion_problem(other_fields, Bundle, "")])
    if problems:
        problems_with_lines = [_add_line_number(problem, root) for problem in problems]
        raise BundleError(problems_with_lines, step=PARSE_STEP, peer=file_name)
    return msgspec.convert(content, Bundle)


def parse_bundle(text: str, file_name: str = "") -> Bundle:
    """Parse and check a bundle in YAML.

    A missing `parent` is set to the number before the bundle's.

    :param file_name: name of the file, for errors.
    :raises BundleError: lists every problem with its path and line number.
    """
    root = _compose(text, file_name)
    bundle = _convert_bundle(_load_values(text, root, file_name), root, file_name)
    problems = [_add_line_number(problem, root) for problem in check_bundle(bundle)]
    if problems:
        raise BundleError(problems, step=PARSE_STEP, peer=file_name)
    return bundle


def _read_file(path: Path) -> bytes:
    try:
        data = path.read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        raise BundleError([reason], step="bundle.read", peer=str(path)) from None
    if len(data) > MAX_FILE_BYTES:
        problem = f"larger than {MAX_FILE_BYTES} bytes"
        raise BundleError([problem], step="bundle.read", peer=str(path))
    return data


def load_bundle(path: Path) -> Bundle:
    """Read and check a bundle file in YAML.

    :raises BundleError: the file is unreadable, or its content has problems, which
        are listed with their paths and line numbers.
    """
    try:
        text = _read_file(path).decode()
    except UnicodeDecodeError as error:
        raise BundleError([str(error)], step=PARSE_STEP, peer=str(path)) from None
    return parse_bundle(text, str(path))


def bundle_to_yaml(bundle: Bundle) -> str:
    """Return `bundle` in YAML."""
    return yaml.dump(msgspec.to_builtins(bundle), Dumper=_YamlDumper, sort_keys=False)


def encode_signed(signed: SignedBundle) -> bytes:
    """Encode a signed bundle as indented JSON for a file."""
    return msgspec.json.format(msgspec.json.encode(signed)) + b"\n"


def load_signed(path: Path) -> SignedBundle:
    """Read a signed bundle from a JSON file; its signature is not verified.

    :raises BundleError: the file is unreadable or malformed.
    """
    try:
        return decode_json(_read_file(path), SignedBundle)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BundleError([str(error)], step=PARSE_STEP, peer=str(path)) from None

"""Parses, checks and writes configuration documents."""

from collections.abc import Mapping
import json
from typing import Any

import pydantic
import yaml

from banyandale_config import _checks as checks
from banyandale_config import _errors as errors
from banyandale_config import _models as models
from banyandale_config import _problems as problems

MAX_DOCUMENT_BYTES = 16 << 20

_SafeLoader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class _Loader(_SafeLoader):
    """Safe YAML loader that rejects aliases and repeated keys.

    PyYAML keeps the last of two equal keys, so a repeated list of servers would
    silently replace the first. With aliases a short text can expand to any
    size.
    """

    def construct_object(self, node: yaml.Node, deep: bool = False) -> Any:
        if node in self.constructed_objects or node in self.recursive_objects:
            raise yaml.constructor.ConstructorError(
                None, None, "aliases are not allowed", node.start_mark
            )
        return super().construct_object(node, deep=deep)

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Any, Any]:
        seen = set()
        for key, _ in node.value:
            if key.value in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key.value!r} is repeated", key.start_mark
                )
            seen.add(str(key.value))
        return super().construct_mapping(node, deep=deep)


def read_text(text: str | bytes) -> Any:
    """Parses JSON or YAML without checking the values.

    Raises:
        InvalidDocumentError: The text is neither JSON nor YAML, is too long,
            or repeats a key.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        raise _syntax_error(f"is longer than {MAX_DOCUMENT_BYTES} bytes")
    try:
        if isinstance(text, bytes):
            text = text.decode()
        if text.lstrip().startswith("{"):
            return json.loads(text, object_pairs_hook=_build_mapping)
        return yaml.load(text, Loader=_Loader)
    except (ValueError, yaml.YAMLError, RecursionError) as error:
        raise _syntax_error(f"cannot be read: {error}") from error


def _build_mapping(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    mapping = dict(pairs)
    if len(mapping) != len(pairs):
        names = [name for name, _ in pairs]
        repeated = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"key {repeated[0]!r} is repeated")
    return mapping


def _syntax_error(text: str) -> errors.InvalidDocumentError:
    return errors.InvalidDocumentError([problems.Problem(path=(), text=text)])


def check(
    raw: Any,
) -> tuple[models.Document | None, tuple[problems.Problem, ...]]:
    """Checks a parsed document against all rules.

    Returns:
        The document, or None if there are errors, and all problems ordered
        by path.
    """
    document = None
    found = []
    try:
        document = models.Document.model_validate(raw)
    except pydantic.ValidationError as error:
        found = [_convert_error(detail) for detail in error.errors()]
    if isinstance(raw, Mapping):
        found.extend(checks.find_problems(raw))
    if any(problem.is_error for problem in found):
        document = None
    return document, tuple(sorted(found, key=_sort_key))


def _convert_error(detail: Any) -> problems.Problem:
    text = detail["msg"].removeprefix("Value error, ")
    if detail["type"] == "extra_forbidden":
        text = "unknown key"
    elif detail["type"] == "missing":
        text = "is required"
    elif detail["type"] == "string_pattern_mismatch":
        text = f"{detail['input']!r} is not allowed: {text}"
    return problems.Problem(path=tuple(detail["loc"]), text=text)


def _sort_key(problem: problems.Problem) -> tuple[Any, ...]:
    return tuple((isinstance(key, str), key) for key in problem.path)


def load(text: str | bytes) -> models.Document:
    """Reads and checks a JSON or YAML document.

    Raises:
        InvalidDocumentError: The document has errors; the exception lists
            all of them.
    """
    document, found = check(read_text(text))
    if document is None:
        raise errors.InvalidDocumentError(found)
    return document


def dump_json(document: models.Document) -> str:
    """Returns a document as indented JSON."""
    return document.model_dump_json(indent=2) + "\n"


def dump_yaml(document: models.Document) -> str:
    """Returns a document as YAML."""
    return yaml.safe_dump(
        document.model_dump(mode="json"), sort_keys=False, allow_unicode=True
    )


def dump_schema() -> str:
    """Returns the JSON schema of the document."""
    return json.dumps(models.Document.model_json_schema(), indent=2) + "\n"

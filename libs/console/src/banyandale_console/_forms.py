"""Forms: fields made from the models, and values read from submitted text."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import types
import typing
from typing import Any

import pydantic

import banyandale_config as config

BLANK_ROWS = 3
DELETE_FIELD = "delete"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Field:
    """One field of a form.

    Attributes:
        name: Name of the field in the form.
        label: Name of the value in the document.
        help: What the value means.
        text: Current text.
        choices: Allowed texts; empty when it is a free text.
        problems: What is wrong with the text.
    """

    name: str
    label: str
    help: str
    text: str
    choices: tuple[str, ...] = ()
    problems: tuple[config.Problem, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """One entry of a list; `delete_name` is the field that removes it."""

    fields: tuple[Field, ...]
    delete_name: str
    deleted: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Submitted:
    """Rows read from a form.

    Attributes:
        values: Value of each kept row.
        numbers: Number of each kept row in the form.
        count: Number of rows in the form.
    """

    values: list[dict[str, Any]]
    numbers: tuple[int, ...]
    count: int


def _types_of(info: pydantic.fields.FieldInfo) -> tuple[Any, ...]:
    if isinstance(info.annotation, types.UnionType):
        return typing.get_args(info.annotation)
    return (info.annotation,)


def _choices_of(info: pydantic.fields.FieldInfo) -> tuple[str, ...]:
    if typing.get_origin(info.annotation) is typing.Literal:
        return typing.get_args(info.annotation)
    return ()


def _scalar_fields(model: type[pydantic.BaseModel]) -> list[str]:
    return [name for name in model.model_fields if name != "servers"]


def format_value(value: Any) -> str:
    """Returns the text of a value in a form."""
    if value is None:
        return ""
    if isinstance(value, list | tuple):
        return ", ".join(map(str, value))
    return str(value)


def parse_value(info: pydantic.fields.FieldInfo, text: str) -> Any:
    """Returns the value of a text; a text that has no value stays a text.

    The models then report that text as a problem of this field.
    """
    allowed = _types_of(info)
    if typing.get_origin(info.annotation) is tuple:
        return text.replace(",", " ").split()
    for kind in (int, float):
        if kind in allowed:
            try:
                return kind(text)
            except ValueError:
                pass
    return text


def parse_entry(
    model: type[pydantic.BaseModel], texts: Mapping[str, str], prefix: str = ""
) -> dict[str, Any]:
    """Reads the values of one entry; an empty text stands for the default."""
    values = {}
    for name in _scalar_fields(model):
        text = texts.get(prefix + name, "").strip()
        info = model.model_fields[name]
        if text or info.is_required() or name == "idempotent_methods":
            values[name] = parse_value(info, text)
    return values


def parse_rows(
    model: type[pydantic.BaseModel], texts: Mapping[str, str]
) -> Submitted:
    """Reads the rows of a list; blank and deleted rows are left out."""
    count = 1 + max(
        (int(key.partition(".")[0]) for key in texts if _is_row_key(key)),
        default=-1,
    )
    values = []
    numbers = []
    required = [
        name for name, info in model.model_fields.items() if info.is_required()
    ]
    for number in range(count):
        prefix = f"{number}."
        if prefix + DELETE_FIELD in texts:
            continue
        if any(texts.get(prefix + name, "").strip() for name in required):
            values.append(parse_entry(model, texts, prefix))
            numbers.append(number)
    return Submitted(values=values, numbers=tuple(numbers), count=count)


def _is_row_key(key: str) -> bool:
    # Four digits bound the number of rows that a request can ask for.
    number, separator, _ = key.partition(".")
    return bool(separator) and number.isdecimal() and len(number) <= 4


def build_fields(
    model: type[pydantic.BaseModel],
    texts: Mapping[str, str],
    *,
    prefix: str = "",
    path: config.Path = (),
    problems: Iterable[config.Problem] = (),
) -> tuple[Field, ...]:
    """Returns the fields of one entry with the problems at `path`."""
    problems = tuple(problems)
    fields = []
    for name in _scalar_fields(model):
        info = model.model_fields[name]
        here = (*path, name)
        fields.append(
            Field(
                name=prefix + name,
                label=name,
                help=info.description or "",
                text=texts.get(prefix + name, ""),
                choices=_choices_of(info),
                problems=tuple(
                    problem
                    for problem in problems
                    if path and problem.path[: len(here)] == here
                ),
            )
        )
    return tuple(fields)


def build_rows(
    model: type[pydantic.BaseModel],
    texts: Mapping[str, str],
    *,
    submitted: Submitted,
    path: config.Path = (),
    problems: Iterable[config.Problem] = (),
) -> tuple[Row, ...]:
    """Returns the rows of a submitted list and some blank ones."""
    problems = tuple(problems)
    indexes = {number: index for index, number in enumerate(submitted.numbers)}
    rows = []
    for number in range(submitted.count):
        prefix = f"{number}."
        here = (*path, indexes[number]) if number in indexes else ()
        rows.append(
            Row(
                fields=build_fields(
                    model,
                    texts,
                    prefix=prefix,
                    path=here,
                    problems=problems,
                ),
                delete_name=prefix + DELETE_FIELD,
                deleted=prefix + DELETE_FIELD in texts,
            )
        )
    return tuple(rows)


def format_entry(
    model: type[pydantic.BaseModel], value: Any, prefix: str = ""
) -> dict[str, str]:
    """Returns the texts of one entry of the document."""
    return {
        prefix + name: format_value(getattr(value, name))
        for name in _scalar_fields(model)
    }


def format_rows(
    model: type[pydantic.BaseModel], values: Iterable[Any]
) -> tuple[dict[str, str], Submitted]:
    """Returns the texts of a list of the document, with blank rows."""
    texts: dict[str, str] = {}
    count = 0
    for value in values:
        texts.update(format_entry(model, value, f"{count}."))
        count += 1
    submitted = Submitted(
        values=[], numbers=tuple(range(count)), count=count + BLANK_ROWS
    )
    return texts, submitted


def format_default(model: type[pydantic.BaseModel]) -> dict[str, str]:
    """Returns the texts of a new entry."""
    return {
        name: format_value(info.default)
        for name, info in model.model_fields.items()
        if name != "servers" and not info.is_required()
    }

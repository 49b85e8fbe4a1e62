"""Builds form fields from the models and parses submitted forms."""

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
        help: Description of the value.
        text: Current text of the field.
        choices: Allowed texts; empty for free text.
        problems: Problems of the value.
    """

    name: str
    label: str
    help: str
    text: str
    choices: tuple[str, ...] = ()
    problems: tuple[config.Problem, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """Form fields of one entry of a list.

    Attributes:
        fields: Fields of the entry.
        delete_name: Name of the checkbox that deletes the entry.
        deleted: Whether the checkbox is checked.
    """

    fields: tuple[Field, ...]
    delete_name: str
    deleted: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class SubmittedRows:
    """Rows parsed from a form, without blank and deleted ones.

    Attributes:
        values: Value of each remaining row.
        numbers: Number of each remaining row in the form.
        count: Number of all rows in the form.
    """

    values: list[dict[str, Any]]
    numbers: tuple[int, ...]
    count: int


def _get_types(info: pydantic.fields.FieldInfo) -> tuple[Any, ...]:
    if isinstance(info.annotation, types.UnionType):
        return typing.get_args(info.annotation)
    return (info.annotation,)


def _get_choices(info: pydantic.fields.FieldInfo) -> tuple[str, ...]:
    if typing.get_origin(info.annotation) is typing.Literal:
        return typing.get_args(info.annotation)
    return ()


def _get_field_names(model: type[pydantic.BaseModel]) -> list[str]:
    return [name for name in model.model_fields if name != "servers"]


def format_value(value: Any) -> str:
    """Returns the form text of a value."""
    if value is None:
        return ""
    if isinstance(value, list | tuple):
        return ", ".join(map(str, value))
    return str(value)


def parse_value(info: pydantic.fields.FieldInfo, text: str) -> Any:
    """Converts a form text to the type of a field.

    Text that cannot be converted is returned unchanged, so that the model
    reports it as a problem of this field.
    """
    field_types = _get_types(info)
    if typing.get_origin(info.annotation) is tuple:
        return text.replace(",", " ").split()
    for number_type in (int, float):
        if number_type in field_types:
            try:
                return number_type(text)
            except ValueError:
                pass
    return text


def parse_entry(
    model: type[pydantic.BaseModel], texts: Mapping[str, str], prefix: str = ""
) -> dict[str, Any]:
    """Parses the values of one entry.

    An empty text selects the default, except for `idempotent_methods`, where it
    means no methods.
    """
    values = {}
    for name in _get_field_names(model):
        text = texts.get(prefix + name, "").strip()
        info = model.model_fields[name]
        if text or info.is_required() or name == "idempotent_methods":
            values[name] = parse_value(info, text)
    return values


def parse_rows(
    model: type[pydantic.BaseModel], texts: Mapping[str, str]
) -> SubmittedRows:
    """Parses the rows of a list; skips blank and deleted rows."""
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
    return SubmittedRows(values=values, numbers=tuple(numbers), count=count)


def _is_row_key(key: str) -> bool:
    # At most four digits, to bound the number of rows in a request.
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
    for name in _get_field_names(model):
        info = model.model_fields[name]
        field_path = (*path, name)
        fields.append(
            Field(
                name=prefix + name,
                label=name,
                help=info.description or "",
                text=texts.get(prefix + name, ""),
                choices=_get_choices(info),
                problems=tuple(
                    problem
                    for problem in problems
                    if path and problem.path[: len(field_path)] == field_path
                ),
            )
        )
    return tuple(fields)


def build_rows(
    model: type[pydantic.BaseModel],
    texts: Mapping[str, str],
    *,
    submitted: SubmittedRows,
    path: config.Path = (),
    problems: Iterable[config.Problem] = (),
) -> tuple[Row, ...]:
    """Returns the rows of a list, including blank and deleted ones."""
    problems = tuple(problems)
    indexes = {number: index for index, number in enumerate(submitted.numbers)}
    rows = []
    for number in range(submitted.count):
        prefix = f"{number}."
        row_path = (*path, indexes[number]) if number in indexes else ()
        rows.append(
            Row(
                fields=build_fields(
                    model,
                    texts,
                    prefix=prefix,
                    path=row_path,
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
    """Returns the form texts of one entry of the document."""
    return {
        prefix + name: format_value(getattr(value, name))
        for name in _get_field_names(model)
    }


def format_rows(
    model: type[pydantic.BaseModel], values: Iterable[Any]
) -> tuple[dict[str, str], SubmittedRows]:
    """Returns the form texts of a list, with blank rows at its end."""
    texts: dict[str, str] = {}
    count = 0
    for value in values:
        texts.update(format_entry(model, value, f"{count}."))
        count += 1
    submitted = SubmittedRows(
        values=[], numbers=tuple(range(count)), count=count + BLANK_ROWS
    )
    return texts, submitted


def format_default(model: type[pydantic.BaseModel]) -> dict[str, str]:
    """Returns the form texts of a new entry: the default values."""
    return {
        name: format_value(info.default)
        for name, info in model.model_fields.items()
        if name != "servers" and not info.is_required()
    }

"""Edits of one section of the document.

A hidden form field carries the edit from the form to the preview and to the
final request, so the console keeps no state between requests.
"""

import copy
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic

import banyandale_core as core


class EditError(core.CodedError):
    """The edit is malformed, or its service does not exist."""

    code = "invalid_edit"


class _BaseEdit(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True, extra="forbid", frozen=True)


class ZonesEdit(_BaseEdit):
    """Replaces all zones."""

    section: Literal["zones"] = "zones"
    value: list[dict[str, Any]]


class ServiceEdit(_BaseEdit):
    """Replaces the settings of a service, or adds one when `name` is ""."""

    section: Literal["service"] = "service"
    name: str
    value: dict[str, Any]


class ServersEdit(_BaseEdit):
    """Replaces the backend servers of a service."""

    section: Literal["servers"] = "servers"
    name: str
    value: list[dict[str, Any]]


class DeleteEdit(_BaseEdit):
    """Deletes a service."""

    section: Literal["delete"] = "delete"
    name: str


class RestoreEdit(_BaseEdit):
    """Restores the document of an older generation."""

    section: Literal["restore"] = "restore"
    generation: int


Edit = ZonesEdit | ServiceEdit | ServersEdit | DeleteEdit | RestoreEdit

_ADAPTER: pydantic.TypeAdapter[Edit] = pydantic.TypeAdapter(
    Annotated[Edit, pydantic.Field(discriminator="section")]
)


def decode(text: str) -> Edit:
    """Parses the edit in a hidden form field.

    Raises:
        EditError: The text is not a valid edit.
    """
    try:
        return _ADAPTER.validate_json(text)
    except pydantic.ValidationError as error:
        raise EditError(str(error)) from error


def encode(edit: Edit) -> str:
    """Returns the text of an edit for a hidden form field."""
    return edit.model_dump_json()


def find_service_index(raw: dict[str, Any], name: str) -> int:
    """Returns the index of a service in a document made of plain dicts.

    Raises:
        EditError: There is no such service.
    """
    for index, service in enumerate(raw["services"]):
        if service["name"] == name:
            return index
    raise EditError(f"there is no service {name!r}")


def apply_edit(raw: dict[str, Any], edit: Edit) -> dict[str, Any]:
    """Returns a copy of a document with an edit applied.

    Raises:
        EditError: The service does not exist, or the edit is a restore.
    """
    raw = copy.copy(raw)
    raw["services"] = list(raw["services"])
    match edit:
        case ZonesEdit():
            raw["zones"] = edit.value
        case ServiceEdit(name=""):
            raw["services"].append({**edit.value, "servers": []})
        case ServiceEdit():
            index = find_service_index(raw, edit.name)
            servers = raw["services"][index]["servers"]
            raw["services"][index] = {**edit.value, "servers": servers}
        case ServersEdit():
            index = find_service_index(raw, edit.name)
            raw["services"][index] = {
                **raw["services"][index],
                "servers": edit.value,
            }
        case DeleteEdit():
            del raw["services"][find_service_index(raw, edit.name)]
        case RestoreEdit():
            raise EditError("a restore replaces the whole document")
    return raw


def find_section_path(raw: dict[str, Any], edit: Edit) -> tuple[str | int, ...]:
    """Returns the path of the edited section in the changed document."""
    match edit:
        case ZonesEdit():
            return ("zones",)
        case ServiceEdit(name=""):
            return ("services", len(raw["services"]) - 1)
        case ServiceEdit():
            name = edit.value.get("name", edit.name)
            return ("services", find_service_index(raw, name))
        case ServersEdit():
            return ("services", find_service_index(raw, edit.name), "servers")
    return ()

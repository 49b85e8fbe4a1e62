"""Edits of one section of the document.

An edit travels from the form to the preview and on to the final request as a
hidden field, so the console keeps nothing between requests.
"""

import copy
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic

import banyandale_core as core


class EditError(core.CodedError):
    """The edit is damaged, or its service does not exist."""

    code = "invalid_edit"


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True, extra="forbid", frozen=True)


class ZonesEdit(_Model):
    """Replaces all zones."""

    section: Literal["zones"] = "zones"
    value: list[dict[str, Any]]


class ServiceEdit(_Model):
    """Replaces the settings of a service, or adds one when `name` is ""."""

    section: Literal["service"] = "service"
    name: str
    value: dict[str, Any]


class ServersEdit(_Model):
    """Replaces the backend servers of a service."""

    section: Literal["servers"] = "servers"
    name: str
    value: list[dict[str, Any]]


class DeleteEdit(_Model):
    """Deletes a service."""

    section: Literal["delete"] = "delete"
    name: str


class RestoreEdit(_Model):
    """Returns to an old generation."""

    section: Literal["restore"] = "restore"
    generation: int


Edit = ZonesEdit | ServiceEdit | ServersEdit | DeleteEdit | RestoreEdit

_ADAPTER: pydantic.TypeAdapter[Edit] = pydantic.TypeAdapter(
    Annotated[Edit, pydantic.Field(discriminator="section")]
)


def decode(text: str) -> Edit:
    """Reads an edit from a hidden field.

    Raises:
        EditError: The text is not an edit.
    """
    try:
        return _ADAPTER.validate_json(text)
    except pydantic.ValidationError as error:
        raise EditError(str(error)) from error


def encode(edit: Edit) -> str:
    """Writes an edit for a hidden field."""
    return edit.model_dump_json()


def find_service(raw: dict[str, Any], name: str) -> int:
    """Returns the index of a service in a document of plain values.

    Raises:
        EditError: There is no such service.
    """
    for index, service in enumerate(raw["services"]):
        if service["name"] == name:
            return index
    raise EditError(f"there is no service {name!r}")


def change(raw: dict[str, Any], edit: Edit) -> dict[str, Any]:
    """Returns a copy of a document with one section replaced.

    Raises:
        EditError: The service does not exist.
    """
    raw = copy.copy(raw)
    raw["services"] = list(raw["services"])
    match edit:
        case ZonesEdit():
            raw["zones"] = edit.value
        case ServiceEdit(name=""):
            raw["services"].append({**edit.value, "servers": []})
        case ServiceEdit():
            index = find_service(raw, edit.name)
            servers = raw["services"][index]["servers"]
            raw["services"][index] = {**edit.value, "servers": servers}
        case ServersEdit():
            index = find_service(raw, edit.name)
            raw["services"][index] = {
                **raw["services"][index],
                "servers": edit.value,
            }
        case DeleteEdit():
            del raw["services"][find_service(raw, edit.name)]
        case RestoreEdit():
            raise EditError("a restore replaces the whole document")
    return raw


def find_path(raw: dict[str, Any], edit: Edit) -> tuple[str | int, ...]:
    """Returns the path of the edited section in the changed document."""
    match edit:
        case ZonesEdit():
            return ("zones",)
        case ServiceEdit(name=""):
            return ("services", len(raw["services"]) - 1)
        case ServiceEdit():
            name = edit.value.get("name", edit.name)
            return ("services", find_service(raw, name))
        case ServersEdit():
            return ("services", find_service(raw, edit.name), "servers")
    return ()

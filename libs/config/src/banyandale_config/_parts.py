"""Encodes the configuration as one root and immutable parts.

A part is the canonical JSON of one service, and its name is the hexadecimal
SHA-256 of these bytes. The root names the part of each service, so a change of
one service writes one part and the root.

Unknown keys in a root or part are ignored, so that gateways can read what a
newer version of the program publishes.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import json
from typing import Any

import pydantic

from banyandale_config import _errors as errors
from banyandale_config import _models as models

ROOT_KIND = "config"
ROOT_NAME = "root"
PART_KIND = "config_part"
HISTORY_KIND = "config_history"
GENERATION_DIGITS = 12


def history_name(generation: int) -> str:
    """Returns the name of the history object of a generation."""
    return str(generation).zfill(GENERATION_DIGITS)


def encode(value: Any) -> bytes:
    """Returns canonical JSON: sorted keys, no spaces, UTF-8."""
    return json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    ).encode()


def name_part(part: bytes) -> str:
    """Returns the name of a part, the hash of its content."""
    return hashlib.sha256(part).hexdigest()


def split(
    services: Iterable[models.ServiceModel],
) -> tuple[dict[str, str], dict[str, bytes]]:
    """Returns the part name of each service and the parts by name."""
    names = {}
    parts = {}
    for service in services:
        part = encode(service.model_dump(mode="json"))
        names[service.name] = name = name_part(part)
        parts[name] = part
    return names, parts


def read_root(value: bytes) -> models.ConfigRoot:
    """Decodes a root.

    Raises:
        DamagedConfigError: The value is not a valid root.
    """
    try:
        return models.ConfigRoot.model_validate_json(value, extra="ignore")
    except pydantic.ValidationError as error:
        raise errors.DamagedConfigError(f"root: {error}") from error


def read_part(name: str, value: bytes) -> models.ServiceModel:
    """Decodes the part `name`.

    Raises:
        DamagedConfigError: The content does not match the name or is
            malformed.
    """
    if name_part(value) != name:
        raise errors.DamagedConfigError(
            f"part {name}: the content does not match the name"
        )
    try:
        return models.ServiceModel.model_validate_json(value, extra="ignore")
    except pydantic.ValidationError as error:
        raise errors.DamagedConfigError(f"part {name}: {error}") from error


def join(
    root: models.ConfigRoot, parts: Mapping[str, bytes]
) -> models.Document:
    """Builds the document of a root, with services sorted by name.

    Raises:
        DamagedConfigError: A part is missing or damaged.
    """
    services = []
    for name in sorted(root.parts):
        part = parts.get(root.parts[name])
        if part is None:
            raise errors.DamagedConfigError(
                f"part of service {name} is missing"
            )
        services.append(read_part(root.parts[name], part))
    return models.Document(zones=root.zones, services=tuple(services))

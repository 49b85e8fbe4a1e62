"""Checked settings, read from flags and environment variables."""

from collections.abc import Mapping
import re
from typing import Annotated
from typing import Literal
from typing import TypeVar

import pydantic

import banyandale_core as core

ENVIRONMENT_PREFIX = "BANYANDALE_"
MIN_SECRET_LENGTH = 16

_ADDRESS = re.compile(r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")


def _check_address(value: str) -> str:
    if not _ADDRESS.match(value):
        raise ValueError("must be of the form ip:port")
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class SettingsError(core.CodedError):
    """Settings are missing or wrong.

    Attributes:
        problems: One line per setting.
    """

    code = "invalid_settings"

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class GatewaySettings(pydantic.BaseModel):
    """Settings of `banyandale gateway`."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    id: str = pydantic.Field(
        pattern=r"^[a-z0-9][a-z0-9-]{0,62}$",
        description="unique name of this gateway",
    )
    zone: str = pydantic.Field(
        min_length=1, description="availability zone of this VM"
    )
    listen: Address = pydantic.Field(description="ip:port for callers")
    advertise: Address | None = pydantic.Field(
        default=None, description="ip:port given to callers; default: listen"
    )
    peer_listen: Address = pydantic.Field(
        description="ip:port for other gateways"
    )
    peer_advertise: Address | None = pydantic.Field(
        default=None,
        description="ip:port that other gateways use; default: peer-listen",
    )
    source: str | None = pydantic.Field(
        default=None, description="local IP number of outgoing connections"
    )
    platform: Address = pydantic.Field(
        description="ip:port of the platform's object API"
    )
    peer_secret: pydantic.SecretStr = pydantic.Field(
        min_length=MIN_SECRET_LENGTH,
        description="shared secret of all gateways",
    )
    peers: str = pydantic.Field(
        default="",
        description="comma-separated ip:port of peers to start from",
    )
    routing: Literal["home", "direct"] = pydantic.Field(
        default="home", description="home, or direct for comparison"
    )
    policy: Literal["least_loaded", "random", "round_robin", "two_choices"] = (
        pydantic.Field(
            default="least_loaded", description="choice of backend server"
        )
    )
    statsd: Address | None = pydantic.Field(
        default=None, description="ip:port of the statsd server"
    )


Model = TypeVar("Model", bound=pydantic.BaseModel)


def variable_name(field: str) -> str:
    """Returns the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + field.upper()


def flag_name(field: str) -> str:
    """Returns the flag of a setting, without dashes in front."""
    return field.replace("_", "-")


def load_settings(
    model: type[Model],
    *,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Model:
    """Reads settings; a flag goes before its environment variable.

    Raises:
        SettingsError: Lists every setting that is missing or wrong.
    """
    values = {}
    for field in model.model_fields:
        value = flags.get(flag_name(field))
        if value is None:
            value = environment.get(variable_name(field))
        if value is not None:
            values[field] = value
    try:
        return model.model_validate(values)
    except pydantic.ValidationError as error:
        problems = tuple(
            f"--{flag_name(str(item['loc'][0]))}"
            f" ({variable_name(str(item['loc'][0]))}): {item['msg']}"
            for item in error.errors()
        )
        raise SettingsError(problems) from error

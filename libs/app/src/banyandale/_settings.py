"""Reads and checks settings from flags and environment variables."""

from collections.abc import Iterable
from collections.abc import Mapping
import difflib
import getpass
import ipaddress
from typing import Annotated
from typing import Literal
from typing import TypeVar

import pydantic

import banyandale_config as config
import banyandale_core as core

ENVIRONMENT_PREFIX = "BANYANDALE_"
MIN_SECRET_LENGTH = 16


class SettingsError(core.CodedError):
    """Settings are missing or wrong.

    Attributes:
        problems: One line per setting.
    """

    code = "invalid_settings"

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


def _check_ip(text: str) -> str:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        raise ValueError(f"{text!r} is not an IP address") from None
    return text


def _check_addresses(text: str) -> str:
    for address in filter(None, text.split(",")):
        config.check_address(address)
    return text


def _get_user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        # The VM's user database may have no entry for the user.
        return "unknown"


Address = Annotated[str, pydantic.AfterValidator(config.check_address)]
Addresses = Annotated[str, pydantic.AfterValidator(_check_addresses)]
Ip = Annotated[str, pydantic.AfterValidator(_check_ip)]


class Settings(pydantic.BaseModel):
    """Base of the settings of all commands."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    platform: Address = pydantic.Field(
        description="ip:port of the platform's object API"
    )
    source: Ip | None = pydantic.Field(
        default=None, description="local IP address of outgoing connections"
    )

    @classmethod
    def find_conflicts(
        cls, values: Mapping[str, str]
    ) -> Iterable[tuple[str, str]]:
        """Returns each field that conflicts with another, and the problem.

        Args:
            values: Text of each setting that has one.
        """
        del values
        return ()


class GatewaySettings(Settings):
    """Settings of `banyandale gateway`."""

    id: str = pydantic.Field(
        pattern=r"^[a-z0-9][a-z0-9-]{0,62}$",
        description="unique name of this gateway",
    )
    zone: str = pydantic.Field(
        pattern=config.NAME_PATTERN,
        description="availability zone of this VM",
    )
    listen: Address = pydantic.Field(
        description="ip:port that callers' connections are accepted on"
    )
    advertise: Address | None = pydantic.Field(
        default=None,
        description="ip:port that lookups give to callers; default: listen",
    )
    peer_listen: Address = pydantic.Field(
        description="ip:port that other gateways' connections are accepted on"
    )
    peer_advertise: Address | None = pydantic.Field(
        default=None,
        description=(
            "ip:port that other gateways connect to; default: peer-listen"
        ),
    )
    peer_secret: pydantic.SecretStr = pydantic.Field(
        min_length=MIN_SECRET_LENGTH,
        description=(
            "shared secret of all gateways, at least"
            f" {MIN_SECRET_LENGTH} characters"
        ),
    )
    peers: Addresses = pydantic.Field(
        default="",
        description=(
            "comma-separated ip:port of peers to connect to at the start, so"
            " that a gateway can start while the platform is down"
        ),
    )
    routing: Literal["home", "direct"] = pydantic.Field(
        default="home",
        description=(
            "home: one gateway per service and availability zone dispatches"
            " calls; direct: each gateway dispatches calls on its own, for"
            " comparison"
        ),
    )
    policy: Literal["least_loaded", "random", "round_robin", "two_choices"] = (
        pydantic.Field(
            default="least_loaded",
            description="how the backend server of a call is chosen",
        )
    )
    grace_seconds: float = pydantic.Field(
        default=60.0,
        ge=2.0,
        le=3600.0,
        description="seconds from SIGTERM until the process is killed",
    )
    statsd: Address | None = pydantic.Field(
        default=None, description="ip:port of the statsd server"
    )

    @classmethod
    def find_conflicts(
        cls, values: Mapping[str, str]
    ) -> Iterable[tuple[str, str]]:
        """Returns addresses that are used twice or cannot be connected to."""
        if values.get("listen") and values["listen"] == values.get(
            "peer_listen"
        ):
            yield "peer_listen", "must differ from listen"
        for advertised, listen in (
            ("advertise", "listen"),
            ("peer_advertise", "peer_listen"),
        ):
            address = values.get(advertised) or values.get(listen, "")
            if address.startswith(("0.0.0.0:", "[::]:")):
                yield (
                    advertised,
                    f"must be set: other VMs cannot connect to {address}",
                )


class OperatorSettings(Settings):
    """Settings of the commands `config`, `zone` and `status`."""

    author: str = pydantic.Field(
        default_factory=_get_user_name,
        min_length=1,
        max_length=100,
        description=(
            "name recorded as the author of a change; default: the user's name"
        ),
    )


class ConsoleSettings(Settings):
    """Settings of `banyandale console`."""

    console_listen: Address = pydantic.Field(
        default="127.0.0.1:8090",
        description="ip:port for operators' browsers",
    )
    console_token: pydantic.SecretStr = pydantic.Field(
        min_length=MIN_SECRET_LENGTH,
        description=(
            "token that operators sign in with, at least"
            f" {MIN_SECRET_LENGTH} characters"
        ),
    )
    statsd: Address | None = pydantic.Field(
        default=None, description="ip:port of the statsd server"
    )


ALL_MODELS = (GatewaySettings, OperatorSettings, ConsoleSettings)

Model = TypeVar("Model", bound=Settings)


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
    """Reads settings; a flag overrides its environment variable.

    Raises:
        SettingsError: Lists every setting that is missing or wrong.
    """
    values = {}
    for field in model.model_fields:
        value = flags.get(flag_name(field))
        if value is None:
            # Deployment tools set unused variables to "".
            value = environment.get(variable_name(field)) or None
        if value is not None:
            values[field] = value
    problems = dict(model.find_conflicts(values))
    loaded = None
    try:
        loaded = model.model_validate(values)
    except pydantic.ValidationError as error:
        problems.update(
            (str(item["loc"][0]), _describe_problem(item))
            for item in error.errors()
        )
    lines = [
        f"--{flag_name(field)} ({variable_name(field)}): {problems[field]}"
        for field in model.model_fields
        if field in problems
    ]
    lines.extend(_find_unknown_variables(environment))
    if lines or loaded is None:
        raise SettingsError(tuple(lines))
    return loaded


def _describe_problem(item: Mapping[str, object]) -> str:
    if item["type"] == "missing":
        return "is required"
    return str(item["msg"]).removeprefix("Value error, ")


def _find_unknown_variables(environment: Mapping[str, str]) -> Iterable[str]:
    """Reports misspelled variables, which would otherwise be ignored."""
    known = {
        variable_name(field)
        for model in ALL_MODELS
        for field in model.model_fields
    }
    for name in sorted(environment):
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known:
            similar = difflib.get_close_matches(name, known, n=1)
            hint = f"; did you mean {similar[0]}?" if similar else ""
            yield f"{name}: there is no such setting{hint}"

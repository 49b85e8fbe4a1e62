"""Writes docs/SETTINGS.md: `python -m banyandale._settings_page`."""

from collections.abc import Iterator
import typing

import pydantic

from banyandale import _exits as exits
from banyandale import _settings as settings

INTRODUCTION = """\
# Settings and exit codes

Each setting has a flag and an environment variable; the flag takes precedence.
When a command starts, it reports all settings that are missing or wrong and all
unknown `BANYANDALE_*` variables together. Pass secrets in variables, since
flags are visible in the list of processes. An address is `ip:port`.

This page is written by `python -m banyandale._settings_page` from
[_settings.py](../libs/app/src/banyandale/_settings.py) and
[_exits.py](../libs/app/src/banyandale/_exits.py).
"""


def render_page() -> str:
    """Returns the text of the page in Markdown."""
    lines = [INTRODUCTION]
    for model in settings.ALL_MODELS:
        lines.append(f"## {(model.__doc__ or '').rstrip('.')}\n")
        lines.append("| flag | variable | default | meaning |")
        lines.append("|---|---|---|---|")
        lines.extend(_render_rows(model))
        lines.append("")
    lines.append("## Exit codes\n")
    lines.append("| code | name | meaning |")
    lines.append("|---|---|---|")
    for code, text in exits.DESCRIPTIONS.items():
        lines.append(f"| {code.value} | `{code.name.lower()}` | {text} |")
    return "\n".join(lines) + "\n"


def _render_rows(model: type[settings.Settings]) -> Iterator[str]:
    for name, info in model.model_fields.items():
        yield (
            f"| `--{settings.flag_name(name)}`"
            f" | `{settings.variable_name(name)}`"
            f" | {_format_default(info)}"
            f" | {info.description}{_format_choices(info)} |"
        )


def _format_default(info: pydantic.fields.FieldInfo) -> str:
    if info.is_required():
        return "required"
    if info.default_factory is not None or info.default in (None, ""):
        return ""
    return f"`{info.default}`"


def _format_choices(info: pydantic.fields.FieldInfo) -> str:
    if typing.get_origin(info.annotation) is not typing.Literal:
        return ""
    names = (f"`{choice}`" for choice in typing.get_args(info.annotation))
    return f" ({', '.join(names)})"


if __name__ == "__main__":
    print(render_page(), end="")

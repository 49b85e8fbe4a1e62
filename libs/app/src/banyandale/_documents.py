"""Reads document files and the generation that a document is based on."""

import pathlib
import re
import sys

import banyandale_core as core

STDIN_NAME = "-"
# One more byte is read, so that `config.read_text` rejects longer files.
MAX_FILE_BYTES = 16 << 20

# `config show` writes this line; `config apply` takes the base from it.
_GENERATION_LINE = re.compile(rb"\A# generation (\d{1,12})\r?\n")


class FileError(core.CodedError):
    """The file of a document cannot be read."""

    code = "file_unreadable"


def read_file(name: str) -> bytes:
    """Reads a file, or the standard input for "-".

    Raises:
        FileError: The file cannot be read.
    """
    try:
        if name == STDIN_NAME:
            return sys.stdin.buffer.read(MAX_FILE_BYTES + 1)
        with pathlib.Path(name).open("rb") as file:
            return file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise FileError(f"{name}: {error.strerror}") from error


def format_header(generation: int) -> str:
    """Returns the first line that `config show` writes."""
    return f"# generation {generation}\n"


def find_generation(text: bytes) -> int | None:
    """Returns the generation named in the first line, or None."""
    match = _GENERATION_LINE.match(text)
    return None if match is None else int(match[1])

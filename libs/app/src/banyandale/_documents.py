"""Documents on the command line: files, and the generation they came from."""

import pathlib
import re
import sys

import banyandale_core as core

STANDARD_STREAM = "-"
MAX_FILE_BYTES = 16 << 20

# Written by `config show`, so that `config apply` knows the base.
_GENERATION_LINE = re.compile(rb"\A# generation (\d{1,12})\r?\n")


class FileError(core.CodedError):
    """The document's file cannot be read."""

    code = "file_unreadable"


def read_file(name: str) -> bytes:
    """Reads a file, or the standard input for "-".

    Raises:
        FileError: The file cannot be read.
    """
    try:
        if name == STANDARD_STREAM:
            return sys.stdin.buffer.read(MAX_FILE_BYTES + 1)
        with pathlib.Path(name).open("rb") as file:
            return file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise FileError(f"{name}: {error.strerror}") from error


def format_header(generation: int) -> str:
    """Returns the first line of a shown document."""
    return f"# generation {generation}\n"


def find_generation(text: bytes) -> int | None:
    """Returns the generation in the first line of a document, if any."""
    match = _GENERATION_LINE.match(text)
    return None if match is None else int(match[1])

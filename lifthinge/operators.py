"""The operators' file: HCL that a schema checks. A block that it lacks turns its function off.

>>> text = 'log { form = "json" }'
>>> read_operators(text, "x.hcl").log.form
'json'
>>> read_operators('log { from = "json" }', "x.hcl")
FileProblem(file='x.hcl', line=1, key='log.from', why='unknown; did you mean form?')
>>> read_operators('log {', "x.hcl").line
1
>>> text = 'agreed {\\n cluster = "c"\\n key_file = "k"\\n members = { a = "here" }\\n}'
>>> print(read_operators(text, "x.hcl"))
x.hcl:4: agreed.members: not an address of the form 127.0.0.1:7101
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import hcl2
from lark.exceptions import UnexpectedInput
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError, field_validator

from lifthinge.schema import first_problem

MAX_FILE_BYTES = 4 << 20  # of an HCL file; a larger one is refused
Name = Annotated[str, Field(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]


@dataclass(frozen=True, slots=True)
class FileProblem:
    """Why a file is refused: the line and the key at fault, and the reason."""

    file: str
    line: int  # from 1; 0: the file was not parsed
    key: str
    why: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.key}: {self.why}"


def check_address(text: str) -> str:
    """Return the text if it has the form HOST:PORT; raise ValueError otherwise."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 1 << 16:
        raise ValueError("not an address of the form 127.0.0.1:7101")
    return text


def split_address(text: str) -> tuple[str, int]:
    """Return the host and the port of an address that `check_address` accepts."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def _check_addresses(members: dict[str, str]) -> dict[str, str]:
    """Return the members if all have proper addresses; raise ValueError otherwise."""
    for text in members.values():
        check_address(text)
    return members


Address = Annotated[str, AfterValidator(check_address)]
Members = Annotated[dict[str, str], AfterValidator(_check_addresses)]  # name to HOST:PORT


class _Block(BaseModel):
    """A block of the file: immutable, and without unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class LogLines(_Block):
    """How log lines are written."""

    form: Literal["key-value", "json"] = "key-value"


class MemberPart(_Block):
    """The member that this process runs of the cluster that agrees on the document."""

    cluster: Name
    name: Name
    listen: Address
    folder: Annotated[str, Field(min_length=1)]
    key_file: str
    client_key_file: str
    # The initial members, the same at each of them; empty if it joins a running cluster.
    start_with: Members = {}
    election_ms: Annotated[float, Field(ge=50, le=60_000)] = 1_000.0  # election timeout
    beat_ms: Annotated[float, Field(ge=5, le=10_000)] = 100.0  # heartbeat interval
    # Log entries after a snapshot until the next one is made.
    snapshot_entries: Annotated[int, Field(ge=100, le=10_000_000)] = 20_000

    @field_validator("beat_ms")
    @classmethod
    def _check_beat(cls, beat_ms: float, info) -> float:
        """Refuse a heartbeat interval that is too long for the election timeout."""
        if beat_ms * 3 > info.data.get("election_ms", beat_ms * 3):
            raise ValueError("at most a third of election_ms")
        return beat_ms


class AgreedPart(_Block):
    """Where a controller or the command line finds the members that hold the agreed document."""

    cluster: Name
    members: Annotated[Members, Field(min_length=1)]
    key_file: str


class CapturePart(_Block):
    """A capture of the decisions' events and orders; beyond the budget the oldest is deleted."""

    folder: Annotated[str, Field(min_length=1)]
    budget_mb: Annotated[float, Field(ge=1, le=1_000_000)] = 64.0  # of all segments in the folder
    segment_mb: Annotated[float, Field(ge=0.1, le=1_000)] = 4.0  # size of one segment

    @field_validator("segment_mb")
    @classmethod
    def _check_segment(cls, segment_mb: float, info) -> float:
        """Refuse a segment that is too large for the budget."""
        if segment_mb * 2 > info.data.get("budget_mb", segment_mb * 2):
            raise ValueError("at most half of budget_mb")
        return segment_mb


class Operators(_Block):
    """The whole file; an optional block that is missing is None."""

    log: LogLines = LogLines()
    member: MemberPart | None = None
    agreed: AgreedPart | None = None
    capture: CapturePart | None = None


_BLOCK_NAMES = ("log", "member", "agreed", "capture")


def read_hcl(text: str, file: str) -> dict[str, Any] | FileProblem:
    """Parse HCL; blocks come as lists, as a name may occur more than once."""
    try:
        return _strip_markers(hcl2.loads(text if text.endswith("\n") else text + "\n"))
    except UnexpectedInput as error:
        line, line_count = getattr(error, "line", 0), len(text.splitlines())
        return FileProblem(
            file,
            min(line, line_count) if isinstance(line, int) and line > 0 else line_count,
            "syntax",
            "not valid HCL",
        )
    except Exception as error:  # hcl2 lets any error of its parser through
        return FileProblem(file, 1, "syntax", f"not valid HCL: {type(error).__name__}")


def _strip_markers(data: Any) -> Any:
    """Remove the quotes and `__` keys that some versions of hcl2 leave on strings and in blocks."""
    if isinstance(data, dict):
        return {
            _strip_markers(key): _strip_markers(value)
            for key, value in data.items()
            if not str(key).startswith("__")
        }
    if isinstance(data, list):
        return [_strip_markers(value) for value in data]
    if isinstance(data, str) and len(data) > 1 and data[0] == data[-1] == '"':
        return data[1:-1]
    return data


def find_line(text: str, key: str) -> int:
    """Return the number of the line, from 1, on which the last part of a dotted key stands.

    Each part is searched from the line of the part before it; one that is not found counts as being
    on that line.
    """
    line_index = 0
    lines = text.splitlines()
    for key_part in key.replace("]", "").replace("[", ".").split("."):
        line_index = next(
            (
                index
                for index in range(line_index, len(lines))
                if not key_part.isdigit()
                and lines[index]
                .split("#")[0]
                .replace('"', " ")
                .replace("{", " ")
                .replace("=", " ")
                .split()[:1]
                and key_part
                in lines[index].replace('"', " ").replace("{", " ").replace("=", " ").split()
            ),
            line_index,
        )
    return line_index + 1


def read_operators(text: str, file: str) -> Operators | FileProblem:
    """Check the text of a file; return its content, or the first problem with it."""
    data = read_hcl(text, file)
    if isinstance(data, FileProblem):
        return data
    for name in _BLOCK_NAMES:
        if isinstance(data.get(name), list):
            if len(data[name]) != 1:
                return FileProblem(
                    file, find_line(text, name), name, "more than one block of this name"
                )
            data[name] = data[name][0]
    try:
        return Operators.model_validate(data)
    except ValidationError as error:
        problem = first_problem(error, Operators)
        return FileProblem(
            file,
            find_line(text, problem.key),
            problem.key,
            problem.why.removeprefix("Value error, "),
        )


def load_operators(path: str) -> Operators | FileProblem:
    """Read and check a file; return its content, or the first problem with it."""
    text = read_text(path)
    return text if isinstance(text, FileProblem) else read_operators(text, path)


def read_text(path: str) -> str | FileProblem:
    """Return the text of a file, or why it can't be read; a file that is too large is refused."""
    try:
        data = Path(path).read_bytes()
        return (
            data.decode()
            if len(data) <= MAX_FILE_BYTES
            else FileProblem(path, 0, "file", "too large")
        )
    except OSError as error:
        return FileProblem(path, 0, "file", error.strerror or str(error))
    except UnicodeDecodeError:
        return FileProblem(path, 0, "file", "not UTF-8 text")

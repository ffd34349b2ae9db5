"""The operators' own file: HCL, checked by a schema; what is not set in it is off.

>>> text = 'log { form = "json" }'
>>> read_operators(text, "x.hcl").log.form
'json'
>>> read_operators('log { from = "json" }', "x.hcl")
FileProblem(file='x.hcl', line=1, key='log.from', why='unknown; did you mean form?')
>>> read_operators('log {', "x.hcl").line
1
>>> text = 'agreed {\\n cluster = "c"\\n key_file = "k"\\n members = { a = "here" }\\n}'
>>> read_operators(text, "x.hcl")
FileProblem(file='x.hcl', line=4, key='agreed.members', why='not an address of the form 127.0.0.1:7101')
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import hcl2
from lark.exceptions import UnexpectedInput
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError, field_validator

from lifthinge.schema import first_problem

FILE_MOST = 4 << 20
Name = Annotated[str, Field(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]


@dataclass(frozen=True, slots=True)
class FileProblem:
    """Why a file can't be used: where, which key, and what about it."""

    file: str
    line: int
    key: str
    why: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.key}: {self.why}"


def check_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 1 << 16:
        raise ValueError("not an address of the form 127.0.0.1:7101")
    return text


def split_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _addresses(members: dict[str, str]) -> dict[str, str]:
    for text in members.values():
        check_address(text)
    return members


Address = Annotated[str, AfterValidator(check_address)]
Members = Annotated[dict[str, str], AfterValidator(_addresses)]  # addresses by name


class _Part(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class LogLines(_Part):
    form: Literal["key-value", "json"] = "key-value"


class MemberPart(_Part):
    """One member of the cluster that agrees on the configuration."""

    cluster: Name
    name: Name
    listen: Address
    folder: Annotated[str, Field(min_length=1)]
    key_file: str
    client_key_file: str
    start_with: Members = {}  # the first members, alike at each; empty where it joins a running cluster
    election_ms: Annotated[float, Field(ge=50, le=60_000)] = 1_000.0
    beat_ms: Annotated[float, Field(ge=5, le=10_000)] = 100.0
    snapshot_entries: Annotated[int, Field(ge=100, le=10_000_000)] = (
        20_000  # behind one, then comes another
    )

    @field_validator("beat_ms")
    @classmethod
    def _beat(cls, beat: float, info) -> float:
        if beat * 3 > info.data.get("election_ms", beat * 3):
            raise ValueError("at most a third of election_ms")
        return beat


class AgreedPart(_Part):
    """Where a controller, or the command line, finds the agreed configuration."""

    cluster: Name
    members: Annotated[Members, Field(min_length=1)]
    key_file: str


class CapturePart(_Part):
    """A record of what the decisions were told and ordered; the oldest goes first."""

    folder: Annotated[str, Field(min_length=1)]
    budget_mb: Annotated[float, Field(ge=1, le=1_000_000)] = 64.0
    segment_mb: Annotated[float, Field(ge=0.1, le=1_000)] = 4.0

    @field_validator("segment_mb")
    @classmethod
    def _segment(cls, size: float, info) -> float:
        if size * 2 > info.data.get("budget_mb", size * 2):
            raise ValueError("at most half of budget_mb")
        return size


class Operators(_Part):
    log: LogLines = LogLines()
    member: MemberPart | None = None
    agreed: AgreedPart | None = None
    capture: CapturePart | None = None


_BLOCKS = ("log", "member", "agreed", "capture")


def read_hcl(text: str, file: str) -> dict[str, Any] | FileProblem:
    """The data of a file; blocks are lists."""
    try:
        return _plain(hcl2.loads(text if text.endswith("\n") else text + "\n"))
    except UnexpectedInput as error:
        line, last = getattr(error, "line", 0), len(text.splitlines())
        return FileProblem(
            file,
            min(line, last) if isinstance(line, int) and line > 0 else last,
            "syntax",
            "this is no HCL",
        )
    except Exception as error:  # the library raises what its parser raises
        return FileProblem(file, 1, "syntax", f"this is no HCL: {type(error).__name__}")


def _plain(data: Any) -> Any:
    """Without the marks that some versions of the library leave on strings and blocks."""
    if isinstance(data, dict):
        return {
            _plain(key): _plain(one) for key, one in data.items() if not str(key).startswith("__")
        }
    if isinstance(data, list):
        return [_plain(one) for one in data]
    if isinstance(data, str) and len(data) > 1 and data[0] == data[-1] == '"':
        return data[1:-1]
    return data


def find_line(text: str, key: str) -> int:
    """Where the last name of a key stands: the first such line after those of the names before it."""
    at = 0
    lines = text.splitlines()
    for name in key.replace("]", "").replace("[", ".").split("."):
        at = next(
            (
                number
                for number in range(at, len(lines))
                if not name.isdigit()
                and lines[number]
                .split("#")[0]
                .replace('"', " ")
                .replace("{", " ")
                .replace("=", " ")
                .split()[:1]
                and name
                in lines[number].replace('"', " ").replace("{", " ").replace("=", " ").split()
            ),
            at,
        )
    return at + 1


def read_operators(text: str, file: str) -> Operators | FileProblem:
    """A checked file, or the first thing that is wrong with it."""
    data = read_hcl(text, file)
    if isinstance(data, FileProblem):
        return data
    for name in _BLOCKS:
        if isinstance(data.get(name), list):
            if len(data[name]) != 1:
                return FileProblem(file, find_line(text, name), name, "more than one such block")
            data[name] = data[name][0]
    try:
        return Operators.model_validate(data)
    except ValidationError as error:
        fault = first_problem(error, Operators)
        return FileProblem(
            file, find_line(text, fault.key), fault.key, fault.why.removeprefix("Value error, ")
        )


def load_operators(path: str) -> Operators | FileProblem:
    found = read_text(path)
    return found if isinstance(found, FileProblem) else read_operators(found, path)


def read_text(path: str) -> str | FileProblem:
    """A file's text, if it is one of a sane size."""
    try:
        data = Path(path).read_bytes()
        return (
            data.decode() if len(data) <= FILE_MOST else FileProblem(path, 0, "file", "too large")
        )
    except OSError as error:
        return FileProblem(path, 0, "file", error.strerror or str(error))
    except UnicodeDecodeError:
        return FileProblem(path, 0, "file", "no UTF-8 text")

"""Log lines of key=value pairs, or of JSON, on standard error; structlog renders what `logging` is given.

The message is the event's name; a dictionary given as its argument holds the fields.

>>> fields = {"why": "a b", "n": 1, "ms": 2.5}
>>> record = logging.LogRecord("wire", logging.WARNING, "", 0, "bad_news", (fields,), None)
>>> record.created = 1.5
>>> make_formatter().format(record)
'time=1.500 level=warning event=bad_news why="a b" n=1 ms=2.5'
>>> make_formatter("json").format(record)
'{"time": "1.500", "level": "warning", "event": "bad_news", "why": "a b", "n": 1, "ms": 2.5}'
"""

import json
import logging
import sys
from typing import Any

import structlog


def _gather(logger: Any, name: str, event: dict[str, Any]) -> dict[str, Any]:
    """The fields of a record, time and level first."""
    record: logging.LogRecord = event["_record"]
    fields = event.get("positional_args")
    fields = fields if isinstance(fields, dict) else {}
    found = {
        "time": f"{record.created:.3f}",
        "level": record.levelname.lower(),
        "event": record.msg if fields else event["event"],
        **fields,
    }
    if event.get("exc_info"):
        found["exc_info"] = event["exc_info"]
    return found


def _short(logger: Any, name: str, event: dict[str, Any]) -> dict[str, Any]:
    return {
        key: f"{one:.3f}".rstrip("0").rstrip(".") if isinstance(one, float) else one
        for key, one in event.items()
    }


def _trace(logger: Any, name: str, event: dict[str, Any]) -> dict[str, Any]:
    found = structlog.processors.format_exc_info(logger, name, event)
    if "exception" in found:
        found["trace"] = found.pop("exception")
    return found


def _line(logger: Any, name: str, event: dict[str, Any]) -> str:
    return " ".join(f"{key}={_quoted(str(one))}" for key, one in event.items())


def _quoted(text: str) -> str:
    plain = text and text.isprintable() and not any(mark in text for mark in ' "=')
    return text if plain else json.dumps(text)


def make_formatter(form: str = "key-value") -> logging.Formatter:
    """What renders records: `key-value` or `json`."""
    last = [structlog.processors.JSONRenderer()] if form == "json" else [_short, _line]
    return structlog.stdlib.ProcessorFormatter(
        processors=[_gather, _trace, *last], pass_foreign_args=True
    )


def configure(form: str = "key-value") -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(make_formatter(form))
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)

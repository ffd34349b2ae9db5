"""Log lines of key=value pairs, or of JSON, on standard error.

They are logged through `logging` and rendered by structlog. The message is the event's name; a
dictionary given as its argument holds the fields.

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


def _collect_fields(logger: Any, name: str, event: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a record, with time, level and event first."""
    record: logging.LogRecord = event["_record"]
    fields = event.get("positional_args")
    fields = fields if isinstance(fields, dict) else {}
    collected = {
        "time": f"{record.created:.3f}",
        "level": record.levelname.lower(),
        "event": record.msg if fields else event["event"],
        **fields,
    }
    if event.get("exc_info"):
        collected["exc_info"] = event["exc_info"]
    return collected


def _shorten_floats(logger: Any, name: str, event: dict[str, Any]) -> dict[str, Any]:
    """Format floats with at most three decimal places."""
    return {
        key: f"{value:.3f}".rstrip("0").rstrip(".") if isinstance(value, float) else value
        for key, value in event.items()
    }


def _format_exception(logger: Any, name: str, event: dict[str, Any]) -> dict[str, Any]:
    """Replace the exception by its traceback as text, in the field `trace`."""
    fields = structlog.processors.format_exc_info(logger, name, event)
    if "exception" in fields:
        fields["trace"] = fields.pop("exception")
    return fields


def _render_key_values(logger: Any, name: str, event: dict[str, Any]) -> str:
    """Return the line of key=value pairs."""
    return " ".join(f"{key}={_quote(str(value))}" for key, value in event.items())


def _quote(text: str) -> str:
    """Quote a value as JSON if it is empty or has spaces, quotes, `=` or unprintable characters."""
    is_plain = text and text.isprintable() and not any(character in text for character in ' "=')
    return text if is_plain else json.dumps(text)


def make_formatter(form: str = "key-value") -> logging.Formatter:
    """Return the formatter of a form: `key-value` or `json`."""
    renderers = (
        [structlog.processors.JSONRenderer()]
        if form == "json"
        else [_shorten_floats, _render_key_values]
    )
    return structlog.stdlib.ProcessorFormatter(
        processors=[_collect_fields, _format_exception, *renderers], pass_foreign_args=True
    )


def configure(form: str = "key-value") -> None:
    """Log to standard error from level INFO on, in the given form."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(make_formatter(form))
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)

"""Log lines of key=value pairs, on standard error."""
import json
import logging
import sys
from typing import Any


class KeyValue(logging.Formatter):
    """The message is the event's name; a dictionary given as its argument holds the fields.

    >>> fields = {"why": "a b", "n": 1}
    >>> record = logging.LogRecord("wire", logging.WARNING, "", 0, "bad_news", (fields,), None)
    >>> record.created = 1.5
    >>> KeyValue().format(record)
    'time=1.500 level=warning event=bad_news why="a b" n=1'
    """

    def format(self, record: logging.LogRecord) -> str:
        fields = record.args if isinstance(record.args, dict) else {}
        text = record.msg if fields else record.getMessage()
        pairs = {"time": f"{record.created:.3f}", "level": record.levelname.lower(), "event": text, **fields}
        if record.exc_info and record.exc_info[1] is not None:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_quoted(value)}" for key, value in pairs.items())


def _quoted(value: Any) -> str:
    text = f"{value:.3f}".rstrip("0").rstrip(".") if isinstance(value, float) else str(value)
    plain = text and text.isprintable() and not any(mark in text for mark in ' "=')
    return text if plain else json.dumps(text)


def start() -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)

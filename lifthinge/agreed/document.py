"""Schema of the document that operators write and the members of the cluster agree on.

The schema does not know the deployment: whether the platform's settings and fleet list have the
backends, zones and methods that a document names is not checked here.

>>> body = {
...     "backends": [{"id": "s-1", "reason": "disk", "until": 5000.0}],
...     "zones": [{"name": "a", "share": 0.5}],
...     "methods": [{"name": "lookup", "criticality": 3.0}],
... }
>>> document = read_document(body); document.backends[0].reason, document.zones[0].share
('disk', 0.5)
>>> read_document({"zones": [{"name": "a", "shar": 0.5}]})
SchemaProblem(key='zones[0].shar', why='unknown; did you mean share?')
>>> read_document({"zones": [{"name": "a", "share": 3}, {"name": "a"}]})
SchemaProblem(key='zones[0].share', why='Input should be less than or equal to 1')
>>> backends = [{"id": "x", "reason": "disk", "until": 9}, {"id": "x", "reason": "fan"}]
>>> read_document({"backends": backends})
SchemaProblem(key='backends[1].id', why='x is named twice')
"""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from lifthinge.schema import SchemaProblem, first_problem

MAX_BACKENDS = 4_096
MAX_ZONES = 256
MAX_METHODS = 256
MAX_REASON_CHARS = 400
MAX_NAME_CHARS = 200
MAX_DOCUMENT_BYTES = 1 << 20  # of the document in MessagePack
Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME_CHARS)]


class _Record(BaseModel):
    """A part of the document: immutable, and without unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)


class OutOfService(_Record):
    """A backend that operators take out of service: it is treated as draining."""

    id: Name
    reason: Annotated[str, Field(min_length=1, max_length=MAX_REASON_CHARS)]
    # Unix time in ms at which it is back in service; 0: when a later document leaves it out.
    until: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0.0


class ZoneShare(_Record):
    """The fraction of their usual work that the backends of a zone are given."""

    name: Name
    share: Annotated[float, Field(ge=0.05, le=1, allow_inf_nan=False)] = 1.0


class MethodWorth(_Record):
    """The criticality of a method, in place of that in the platform's settings."""

    name: Name
    criticality: Annotated[float, Field(gt=0, le=1_000_000, allow_inf_nan=False)]


class Document(_Record):
    """What the operators override; a name occurs at most once in each part."""

    backends: Annotated[tuple[OutOfService, ...], Field(max_length=MAX_BACKENDS)] = ()
    zones: Annotated[tuple[ZoneShare, ...], Field(max_length=MAX_ZONES)] = ()
    methods: Annotated[tuple[MethodWorth, ...], Field(max_length=MAX_METHODS)] = ()


def read_document(body: Any) -> Document | SchemaProblem:
    """Check untrusted data; return the document, or the first problem with it."""
    try:
        document = Document.model_validate(body)
    except ValidationError as error:
        return first_problem(error, Document)
    for part, key in (("backends", "id"), ("zones", "name"), ("methods", "name")):
        names = set()
        for index, entry in enumerate(getattr(document, part)):
            name = getattr(entry, key)
            if name in names:
                return SchemaProblem(f"{part}[{index}].{key}", f"{name} is named twice")
            names.add(name)
    return document

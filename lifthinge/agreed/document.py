"""The document that operators write and members agree on, and what is wrong with one.

It names no deployment: backends, zones and methods are those that the platform's settings and list name.

>>> body = {"backends": [{"id": "s-1", "reason": "disk", "until": 5000.0}], "zones": [{"name": "a", "share": 0.5}],
...         "methods": [{"name": "lookup", "criticality": 3.0}]}
>>> document = read_document(body); document.backends[0].reason, document.zones[0].share
('disk', 0.5)
>>> read_document({"zones": [{"name": "a", "shar": 0.5}]})
SchemaProblem(key='zones[0].shar', why='unknown; did you mean share?')
>>> read_document({"zones": [{"name": "a", "share": 3}, {"name": "a"}]})
SchemaProblem(key='zones[0].share', why='Input should be less than or equal to 1')
>>> read_document({"backends": [{"id": "x", "reason": "disk", "until": 9}, {"id": "x", "reason": "fan"}]})
SchemaProblem(key='backends[1].id', why='x is named twice')
"""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from lifthinge.schema import SchemaProblem, first_problem

BACKENDS_MOST, ZONES_MOST, METHODS_MOST, REASON_MOST, NAME_MOST = 4_096, 256, 256, 400, 200
DOCUMENT_MOST = 1 << 20  # bytes of one that is packed
Name = Annotated[str, Field(min_length=1, max_length=NAME_MOST)]


class _Checked(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)


class OutOfService(_Checked):
    """A backend that is taken out by hand: as good as draining, until then (ms of Unix time; 0: until told)."""

    id: Name
    reason: Annotated[str, Field(min_length=1, max_length=REASON_MOST)]
    until: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0.0


class ZoneShare(_Checked):
    """What part of its usual work a zone's backends are given."""

    name: Name
    share: Annotated[float, Field(ge=0.05, le=1, allow_inf_nan=False)] = 1.0


class MethodWorth(_Checked):
    """What an RPC of a method is worth, in place of what the platform's settings say."""

    name: Name
    criticality: Annotated[float, Field(gt=0, le=1_000_000, allow_inf_nan=False)]


class Document(_Checked):
    backends: Annotated[tuple[OutOfService, ...], Field(max_length=BACKENDS_MOST)] = ()
    zones: Annotated[tuple[ZoneShare, ...], Field(max_length=ZONES_MOST)] = ()
    methods: Annotated[tuple[MethodWorth, ...], Field(max_length=METHODS_MOST)] = ()


def read_document(body: Any) -> Document | SchemaProblem:
    """A checked document out of untrusted data, or the first thing that is wrong with it."""
    try:
        document = Document.model_validate(body)
    except ValidationError as error:
        return first_problem(error, Document)
    for part, key in (("backends", "id"), ("zones", "name"), ("methods", "name")):
        seen = set()
        for place, one in enumerate(getattr(document, part)):
            name = getattr(one, key)
            if name in seen:
                return SchemaProblem(f"{part}[{place}].{key}", f"{name} is named twice")
            seen.add(name)
    return document

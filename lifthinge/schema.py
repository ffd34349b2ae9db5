"""What a schema finds wrong with data, as one fault: the key, and why, with the nearest name for one not known."""

from typing import Any, NamedTuple

from pydantic import BaseModel, ValidationError

from lifthinge.closest_name import closest_name


class SchemaProblem(NamedTuple):
    """What is wrong, and where."""

    key: str
    why: str


def first_problem(error: ValidationError, model: type[BaseModel]) -> SchemaProblem:
    """The first fault that the schema found, with the nearest name for one that it does not know."""
    found = error.errors(include_url=False)
    first = next(
        (one for one in found if one["type"] == "extra_forbidden"), found[0]
    )  # a name mistyped is missing, too
    key = "".join(
        f"[{part}]" if isinstance(part, int) else f".{part}" for part in first["loc"]
    ).lstrip(".")
    if first["type"] != "extra_forbidden":
        return SchemaProblem(key or "document", first["msg"])
    known, fields = model, model.model_fields
    for part in first["loc"][:-1]:
        if isinstance(part, str) and part in fields:
            known = _model_in(fields[part].annotation)
            fields = known.model_fields if known else {}
    like = closest_name(str(first["loc"][-1]), fields)
    return SchemaProblem(key, f"unknown; did you mean {like}?" if like else "unknown")


def _model_in(annotation: Any) -> type[BaseModel] | None:
    """The model that a field's type is, or is a tuple, list or map of."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    return next(
        (found for one in getattr(annotation, "__args__", ()) if (found := _model_in(one))), None
    )

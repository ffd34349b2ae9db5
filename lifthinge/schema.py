"""The first problem that a pydantic schema finds with data, in words for operators."""

from typing import Any, NamedTuple

from pydantic import BaseModel, ValidationError

from lifthinge.closest_name import closest_name


class SchemaProblem(NamedTuple):
    """Which key of the data is wrong, and why."""

    key: str
    why: str


def first_problem(error: ValidationError, model: type[BaseModel]) -> SchemaProblem:
    """Return the problem to report of those that a model found.

    An unknown key goes before other problems, and comes with the most similar key that is known.
    """
    problems = error.errors(include_url=False)
    first = next(
        # A mistyped key is reported as missing, too, which would not show the cause.
        (problem for problem in problems if problem["type"] == "extra_forbidden"),
        problems[0],
    )
    key = "".join(
        f"[{key_part}]" if isinstance(key_part, int) else f".{key_part}"
        for key_part in first["loc"]
    ).lstrip(".")
    if first["type"] != "extra_forbidden":
        return SchemaProblem(key or "document", first["msg"])
    model_at_key, fields = model, model.model_fields
    for key_part in first["loc"][:-1]:
        if isinstance(key_part, str) and key_part in fields:
            model_at_key = _model_of(fields[key_part].annotation)
            fields = model_at_key.model_fields if model_at_key else {}
    suggestion = closest_name(str(first["loc"][-1]), fields)
    return SchemaProblem(key, f"unknown; did you mean {suggestion}?" if suggestion else "unknown")


def _model_of(annotation: Any) -> type[BaseModel] | None:
    """Return the model that a type is or contains, as in a tuple, list or dict of it."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    return next(
        (
            argument_model
            for argument in getattr(annotation, "__args__", ())
            if (argument_model := _model_of(argument))
        ),
        None,
    )

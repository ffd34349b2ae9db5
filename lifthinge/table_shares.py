"""Arithmetic on a slice's lines: a dictionary from backend to weight, some of them withdrawn."""

from lifthinge.interface import Backend


def active_shares(lines: dict[Backend, float]) -> dict[Backend, float]:
    """How RPCs divide over the lines that are not withdrawn.

    >>> a, b, c = Backend("a", "a"), Backend("b", "b"), Backend("c", "c", is_withdrawn=True)
    >>> [(x.backend_id, part) for x, part in active_shares({a: 3.0, b: 1.0, c: 9.0}).items()]
    [('a', 0.75), ('b', 0.25)]
    """
    live = {backend: weight for backend, weight in lines.items() if not backend.is_withdrawn}
    total = sum(live.values())
    return {backend: weight / total for backend, weight in live.items()}


def share_if_active(lines: dict[Backend, float], backend: Backend) -> float:
    """What part a backend has, or would have, were it let in.

    >>> a, c = Backend("a", "a"), Backend("c", "c", is_withdrawn=True)
    >>> share_if_active({a: 1.0, c: 3.0}, c), share_if_active({a: 1.0}, c)
    (0.75, 0.0)
    """
    own = lines.get(backend, 0.0)
    beside = sum(
        weight for other, weight in lines.items() if other is not backend and not other.is_withdrawn
    )
    return own / (own + beside) if own else 0.0


def has_no_active_entry(lines: dict[Backend, float]) -> bool:
    """Whether no line is left that is not withdrawn."""
    return all(backend.is_withdrawn for backend in lines)

"""Shares of RPCs that follow from a table, a dictionary from backend to weight.

A backend that is withdrawn from the proxies gets no RPCs, whatever its weight.
"""

from lifthinge.interface import Backend

# Shares that differ by up to this are taken as equal.
SHARE_TOLERANCE_FRACTION = 0.02


def active_shares(table: dict[Backend, float]) -> dict[Backend, float]:
    """Return the share of the RPCs of each backend that is not withdrawn; the shares add up to 1.

    >>> a, b, c = Backend("a", "a"), Backend("b", "b"), Backend("c", "c", is_withdrawn=True)
    >>> shares = active_shares({a: 3.0, b: 1.0, c: 9.0})
    >>> [(backend.backend_id, share) for backend, share in shares.items()]
    [('a', 0.75), ('b', 0.25)]
    """
    active = {backend: weight for backend, weight in table.items() if not backend.is_withdrawn}
    total = sum(active.values())
    return {backend: weight / total for backend, weight in active.items()}


def share_if_active(table: dict[Backend, float], backend: Backend) -> float:
    """Return the share that a backend has, or would have if it were not withdrawn.

    Return 0 if the table has no entry of it.

    >>> a, c = Backend("a", "a"), Backend("c", "c", is_withdrawn=True)
    >>> share_if_active({a: 1.0, c: 3.0}, c), share_if_active({a: 1.0}, c)
    (0.75, 0.0)
    """
    backend_weight = table.get(backend, 0.0)
    other_weights = sum(
        weight for other, weight in table.items() if other is not backend and not other.is_withdrawn
    )
    return backend_weight / (backend_weight + other_weights) if backend_weight else 0.0


def has_no_active_entry(table: dict[Backend, float]) -> bool:
    """Return whether every backend of the table is withdrawn, or the table is empty."""
    return all(backend.is_withdrawn for backend in table)

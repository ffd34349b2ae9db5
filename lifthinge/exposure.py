"""Heat to which tables expose a backend, in RPCs per ms, be it withdrawn or not.

A backend's entry brings it its share of the slice's RPCs, and a part of those that the other
entries' backends push back, since a proxy tries another entry of the table once.
"""

from collections.abc import Iterable

from lifthinge.interface import Backend, Slice
from lifthinge.table_shares import SHARE_TOLERANCE_FRACTION, share_if_active

# The bin of `Backend.outcomes` that counts failed attempts is addressed by this value.
FAILED_OUTCOME = 1.0


def expected_share(table: dict[Backend, float], backend: Backend) -> float:
    """Return the share of a table's RPCs that a backend is to expect if it is not withdrawn.

    >>> a, b, c = Backend("a", "a"), Backend("b", "b"), Backend("c", "c", is_withdrawn=True)
    >>> expected_share({a: 1.0, b: 3.0, c: 9.0}, a), expected_share({b: 3.0}, a)
    (0.25, 0.0)
    >>> b.outcomes.add(FAILED_OUTCOME, 2.0); b.outcomes.add(0.0, 2.0)
    >>> expected_share({a: 1.0, b: 3.0}, a)
    0.625
    """
    weight = table.get(backend, 0.0)
    if not weight:
        return 0.0
    others = {
        other: other_weight
        for other, other_weight in table.items()
        if other is not backend and not other.is_withdrawn
    }
    total = weight + sum(others.values())
    pushed_back_share = sum(
        other.outcomes.share_from(FAILED_OUTCOME)
        * (other_weight / total)
        * (weight / (total - other_weight))
        for other, other_weight in others.items()
    )
    return weight / total + pushed_back_share


def expected_heat(slice_: Slice, backend: Backend) -> float:
    """Return the heat that the present table of a slice brings a backend.

    A share that is the desired one, within the tolerance, counts as that: it allows for what is
    pushed back.

    >>> a, b = Backend("a", "a"), Backend("b", "b")
    >>> b.outcomes.add(FAILED_OUTCOME, 1.0)
    >>> slice_ = Slice(1, table={a: 1.0, b: 3.0}, heat=0.5)
    >>> expected_heat(slice_, a)
    0.5
    >>> slice_.desired_shares = {a: 0.25, b: 0.75}
    >>> expected_heat(slice_, a)
    0.125
    """
    if not exceeds_desired_share(slice_, backend) and backend in slice_.desired_shares:
        return slice_.heat * desired_share(slice_, backend)
    return slice_.heat * expected_share(slice_.table, backend)


def exceeds_desired_share(slice_: Slice, backend: Backend) -> bool:
    """Return whether a table gives, or would give, a backend more than its desired share."""
    share = share_if_active(slice_.table, backend)
    return share - SHARE_TOLERANCE_FRACTION > desired_share(slice_, backend)


def desired_heat(slices: Iterable[Slice], backend: Backend) -> float:
    """Return the heat that a backend is to have of slices, by their desired shares.

    >>> a, b = Backend("a", "a"), Backend("b", "b")
    >>> desired_heat([Slice(1, desired_shares={a: 0.25, b: 0.75}, heat=1.0)], a)
    0.25
    """
    return sum(
        slice_.heat * desired_share(slice_, backend)
        for slice_ in slices
        if backend in slice_.desired_shares
    )


def desired_share(slice_: Slice, backend: Backend) -> float:
    """Return the share of a slice's RPCs that a backend is to get."""
    total = sum(slice_.desired_shares.values())
    return slice_.desired_shares.get(backend, 0.0) / (total or 1.0)


def blocking_slices(slices: Iterable[Slice], backend: Backend, allowed_heat: float) -> list[Slice]:
    """Return the fewest slices without whose heat a backend has no more than is allowed.

    The hottest come first.

    >>> a = Backend("a", "a")
    >>> slices = [Slice(n, table={a: 1.0}, heat=heat) for n, heat in enumerate((0.2, 0.5, 0.1))]
    >>> [slice_.number for slice_ in blocking_slices(slices, a, 0.3)]
    [1]
    >>> blocking_slices(slices, a, 0.8)
    []
    """
    heats = {slice_: expected_heat(slice_, backend) for slice_ in slices if backend in slice_.table}
    excess_heat = sum(heats.values()) - allowed_heat
    blocking: list[Slice] = []
    for slice_ in sorted(heats, key=lambda slice_: -heats[slice_]):
        if excess_heat <= 0:
            break
        if backend in slice_.desired_shares and not exceeds_desired_share(slice_, backend):
            continue
        blocking.append(slice_)
        excess_heat -= heats[slice_]
    return blocking

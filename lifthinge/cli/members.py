"""`lifthinge members`."""

import click

from lifthinge.cli.common import as_json, operators_file, refuse_sorry, show, with_client

WAIT = 15_000.0  # ms for a command


@click.group()
def members() -> None:
    """Who the members are."""


@members.command("list")
@operators_file
@as_json
def members_list(path: str, as_json: bool) -> None:
    """Every member, as the one that leads sees it, and what each says of itself."""
    from lifthinge.cluster import client_messages
    from lifthinge.cluster.client import connect_member

    async def use(client, until):
        reports = {}
        for name, where in client.members.items():
            link = await connect_member(
                client.runtime, where, client.cluster, client.name, client.keys
            )
            report = await link.ask(client_messages.GetStatus(), 2_000.0) if link else None
            if link:
                link.close()
            if report is not None:
                reports[name] = report
        return reports

    reports = with_client(path, use, WAIT)
    if not reports:
        refuse_sorry(None)
    best = max(reports.values(), key=lambda one: (one.role == "leader", one.term, one.commit))
    rows, data = [], []
    for one in best.members:
        own = reports.get(one.name)
        row = {
            "name": one.name,
            "address": one.address,
            "votes": one.votes,
            "role": own.role if own else "silent",
            "term": own.term if own else None,
            "commit": own.commit if own else None,
            "version": own.version if own else None,
            "ready": own.ready if own else None,
            "in_touch": own.in_touch if own else None,
            "lag": best.last - one.match if one.match >= 0 else 0,
        }
        data.append(row)
        rows.append(
            [
                row["name"],
                row["address"],
                "voter" if one.votes else "learner",
                row["role"],
                *(
                    "-" if row[key] is None else row[key]
                    for key in ("term", "commit", "version", "lag")
                ),
                "-"
                if own is None
                else "catching up"
                if not own.ready
                else "ok"
                if own.in_touch
                else "no majority",
            ]
        )
    show(
        {"leader": best.leader, "members": data},
        as_json,
        rows,
        ("member", "address", "kind", "role", "term", "commit", "version", "lag", "state"),
    )


def _ask(path: str, what: object, as_json: bool, done: str) -> None:
    async def use(client, until):
        return await client.ask(what, until)

    reply = with_client(path, use, WAIT)
    refuse_sorry(reply)
    show({"ok": True, "index": reply.index}, as_json, [(done,)])


@members.command("add")
@click.argument("name")
@click.argument("address")
@operators_file
@as_json
def members_add(name: str, address: str, path: str, as_json: bool) -> None:
    """Adds a member, started beforehand with an empty `start_with`; it votes once it has caught up."""
    from lifthinge.cli.common import stop
    from lifthinge.cluster import client_messages
    from lifthinge.operators import check_address

    try:
        check_address(address)
    except ValueError as error:
        stop(f"{address}: {error}")
    _ask(
        path,
        client_messages.ChangeMembership(name, address),
        as_json,
        f"{name} is a learner and votes once it has caught up",
    )


@members.command("remove")
@click.argument("name")
@operators_file
@as_json
def members_remove(name: str, path: str, as_json: bool) -> None:
    """Removes a member; the one that leads may remove itself."""
    from lifthinge.cluster import client_messages

    _ask(path, client_messages.ChangeMembership(name), as_json, f"{name} is no member any more")


@members.command("transfer")
@click.argument("name")
@operators_file
@as_json
def members_transfer(name: str, path: str, as_json: bool) -> None:
    """Lets another member lead."""
    from lifthinge.cluster import client_messages

    _ask(path, client_messages.TransferLeadership(name), as_json, f"{name} is asked to lead")

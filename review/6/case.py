"""Two of three members are killed while a proposal is on its way: what its author is told."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin2.cluster import CaseNotRunError, Cluster, Forwarder, Record, Way, run_case

NAMES = ("hub-a", "hub-b", "hub-c")
PROPOSAL_FRAME = 3  # of a client's connection to the leader: its hello, a session, the proposal
UNSURE = "may have taken effect"


async def play(record: Record, trouble: bool) -> str:
    """Return how the rule was broken; empty if it held."""
    cluster = Cluster(record, NAMES)
    forwarders: dict[str, Forwarder] = {}
    try:
        await cluster.begin()
        leader = await cluster.wait_until_ok()
        followers = [name for name in NAMES if name != leader]
        killed: list[str] = []

        async def on_frame(way: Way, frame: bytes) -> None:
            if way.frames == PROPOSAL_FRAME and not killed:
                record("the proposal of", len(frame), "bytes is on its way to a member")
                killed.extend(followers)
                if trouble:
                    await asyncio.gather(*(cluster.kill_member(name) for name in followers))

        for name in NAMES:
            port = cluster.ports[name]
            forwarders[name] = Forwarder(lambda port=port: ("127.0.0.1", port))
            forwarders[name].on_frame = on_frame
        path = cluster.write_client_file(
            "operator", {name: await one.open() for name, one in forwarders.items()}
        )
        document = cluster.write_document("wanted.hcl", "s-5be2a07c")
        status, out, errors = await cluster.command(
            "agreed", "propose", document, "--on", "0", "--author", "op", "--operator", path
        )
        if not killed:
            raise CaseNotRunError("no proposal reached a member")
        direct = str(cluster.folder / "client.hcl")
        if trouble:
            # They come back one after the other; the second once the first two agree again.
            await cluster.start_member(followers[0])
            await cluster.command("agreed", "show", "--json", "--operator", direct)
            await cluster.start_member(followers[1])
        await cluster.wait_until_ok()
        shown, text, _ = await cluster.command("agreed", "show", "--json", "--operator", direct)
        if shown != 0:
            raise CaseNotRunError("the members do not show what stands")
        stands = json.loads(text)
        if status == 0:
            return "" if stands["version"] == 1 else "it was told to stand, and does not"
        if stands["version"] == 1 and UNSURE not in out + errors:
            return f"its author was told '{errors.strip()}', and it took effect: version 1 stands"
        return ""
    finally:
        for one in forwarders.values():
            one.close()
        await cluster.end()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))

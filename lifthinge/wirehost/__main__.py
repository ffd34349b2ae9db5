"""The loop: reads batches from standard input, lets the instances decide, writes one reply to each."""

import sys
from typing import BinaryIO

from lifthinge.decision_faults import report_fault
from lifthinge.interface import DecisionFault, Event, ForgetBackend
from lifthinge.policy import Policy
from lifthinge.settings import MS_PER_S
from lifthinge.wirehost.codec import BadFrame, pack_record, pack_reply, read_batch, read_frame
from lifthinge.wirehost.translate import Door, read_conf


class Host:
    """The instances of this process, each with a door of its own, and the shared numbered lists."""

    def __init__(self) -> None:
        self.lists: dict[int, list[tuple]] = {}
        self.instances: dict[int, tuple[Door, Policy]] = {}

    def reply(self, body: bytes) -> bytes:
        """Plays one batch and gives the frame that answers it."""
        clock, records = read_batch(body)
        waiting: dict[int, list[Event]] = {}
        for name, fields in records:
            if name == "DefineList":
                self.lists[fields[0]] = fields[1]
            elif name == "Hello":
                instance, seed, conf = fields
                self.instances[instance] = Door(instance), Policy(read_conf(conf), seed)
                waiting[instance] = []
            elif name == "Kill":
                self.instances.pop(fields[0], None)
                waiting.pop(fields[0], None)
            elif fields[0] in self.instances:
                waiting.setdefault(fields[0], []).append(self._event(name, *fields))
        return pack_reply(
            [
                record
                for instance, events in waiting.items()
                for record in self._decide(instance, clock * MS_PER_S, events)
            ]
        )

    def _event(self, name: str, instance: int, *fields: object) -> Event:
        door = self.instances[instance][0]
        if name != "DirectoryUpdate":
            return door.event(name, fields)
        form, _, buffer = fields
        return door.news(form, self.lists.get(buffer, []))

    def _decide(self, instance: int, now: float, events: list[Event]) -> list[bytes]:
        door, policy = self.instances[instance]
        try:
            orders = policy.decide(now, events)
            faults = [order for order in orders if isinstance(order, DecisionFault)]
            if not faults:
                return [
                    door.pack(order) for order in orders if not isinstance(order, ForgetBackend)
                ]
        except Exception as error:  # whatever it is, the wire wants it reported
            faults = [report_fault("turn", error)]
        for fault in faults:
            print(fault.trace, file=sys.stderr)
        return [pack_record("Fault", instance, fault.error.encode()[:400]) for fault in faults]


def main(source: BinaryIO, sink: BinaryIO) -> int:
    """Serves batches until the input ends; 1 if it was not of the wire."""
    host = Host()
    try:
        while (body := read_frame(source)) is not None:
            sink.write(host.reply(body))
            sink.flush()
    except BadFrame as error:
        print(f"lifthinge: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin.buffer, sys.stdout.buffer))

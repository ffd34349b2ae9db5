"""Every scenario of the decisions on record, with keyframes all along, and replayed from each of them."""

import tempfile
import threading
import zlib
from dataclasses import fields
from pathlib import Path
from random import Random

import msgspec

from lifthinge import policy as policy_module
from lifthinge.capture.against import PolicyComparison, load_policy_class
from lifthinge.capture.anonymise import BackendPseudonyms, anonymise_records
from lifthinge.capture.capture import CapturingPolicy
from lifthinge.capture.codec import NUMBERED_TYPES, CaptureFormatError
from lifthinge.capture.segments import (
    BLOCK_KIND,
    HEADER_KIND,
    SegmentWriter,
    UnreadableSegment,
    list_segments,
    read_segment,
)
from lifthinge.capture.turns import Recorder, Replay, from_keyframes
from lifthinge.memory.counters import Counters
from lifthinge.outer_names import ENUMS, HOLDERS, KINDS, STATE, outer_name
from lifthinge.policy import Policy
from lifthinge.store.records import pack
from tests.play import stage

HERE = Path(__file__).parent
EVERY = 7  # turns between keyframes: a few replays each, from any state that the scenarios come to


class Recorded(stage.Stage):
    """A stage whose instances stand behind a recorder."""

    def __init__(self) -> None:
        self.recorders: list[Recorder] = []
        self.records: list[list[list]] = []
        super().__init__()

    def tell(self, *events: object) -> None:
        if self.policy is None:
            self.policy = _Behind(Policy(self.terms, 7), self)
        super().tell(*events)


class _Behind(Recorder):
    def __init__(self, policy: Policy, owner: Recorded) -> None:
        super().__init__(policy)
        self.turn_count = 0
        self.records = []
        owner.records.append(self.records)

    def __getattr__(self, name: str) -> object:  # what scenarios look at
        return getattr(self.__dict__["policy"], name)

    def decide(self, now: float, events) -> list:
        self.turn_count += 1
        if self.turn_count % EVERY == 0:
            self.keyframe()
        orders = super().decide(now, events)
        # What lies on disk is bytes: only what survives that counts.
        self.records += [
            msgspec.msgpack.decode(msgspec.msgpack.encode(one)) for one in self.take_records()
        ]
        return orders


def check_scenarios_replay() -> None:
    """From each keyframe on, every turn orders what it ordered."""
    turns = 0
    for path in sorted((HERE / "scenarios").glob("*.txt")):
        played = Recorded()
        played.run(path.read_text())
        for records in played.records:
            for part in list(from_keyframes(records))[::5]:
                replay = Replay()
                parted = replay.run(part)
                assert parted is None, f"{path.name} at {parted.now}: {parted.orders}"
                turns += replay.turn_count
    assert turns > 10_000, turns


def check_other_text_parts() -> None:
    """A replay notices: with another text of the module some turn orders otherwise."""
    played = Recorded()
    played.run((HERE / "scenarios" / "violator.txt").read_text())
    from lifthinge import policy

    mark, policy.VIOLATOR_MEDIAN_MULTIPLE = policy.VIOLATOR_MEDIAN_MULTIPLE, 50.0
    try:
        parted = Replay().run(played.records[0])
    finally:
        policy.VIOLATOR_MEDIAN_MULTIPLE = mark
    assert parted is not None and parted.now > 5_000.0, parted


def check_folder_replays() -> None:
    """A capture on disk, in many segments and over its budget, replays; cut anywhere it replays up to there."""
    counters, folder = Counters(), Path(tempfile.mkdtemp())
    writer = SegmentWriter(folder, {"life": 1}, budget_bytes=40_000, rollover_bytes=6_000)

    class Captured(stage.Stage):
        def tell(self, *events: object) -> None:
            if self.policy is None:
                self.policy = CapturingPolicy(Policy(self.terms, 7), writer, counters)
                self.policy._queue.put(
                    None
                )  # in step here: which turn begins a segment must not hang on threads
                self.policy._thread.join()
                self.policy._queue = InStep()
            super().tell(*events)

    class InStep:
        def put(self, records: list | None) -> None:
            writer.write(records or [])
            played.policy._written_counts.append(len(records or []))

    played = Captured()
    played.run("\n".join((HERE / "scenarios" / name).read_text() for name in ("fill.txt",)))
    for moment in range(int(played.now) + 400, int(played.now) + 40_000, 400):
        played.play_to(float(moment))
    played.policy.close()
    found = list_segments(folder)
    assert len(found) > 3 and found[0].path.name != "cap-00000001", [one.path.name for one in found]
    replay = Replay()
    assert (
        all(replay.run(read_segment(one.path)[1]) is None for one in found)
        and replay.turn_count > 10
    ), replay.turn_count
    whole = found[0].path.read_bytes()
    turns = []
    for size in range(0, len(whole), 97):
        found[0].path.write_bytes(whole[:size])
        read, part = read_segment(found[0].path), Replay()
        if isinstance(read, tuple):
            assert part.run(read[1]) is None
            turns.append(part.turn_count)
    assert turns == sorted(turns) and turns[-1] > turns[0]


def check_slow_disk_marked() -> None:
    """Where the disk is too slow turns go on, what is left out is marked, and the replay goes on at the next keyframe."""
    from lifthinge.capture import capture as module

    written: list[list] = []
    gate, caught_up = threading.Event(), threading.Event()

    class Slow:
        wants_keyframe = False

        def write(self, records: list[list]) -> None:
            gate.wait(20)
            written.extend(msgspec.msgpack.decode(msgspec.msgpack.encode(records)))
            if len(written) >= 20:
                caught_up.set()

        def close(self) -> None:
            pass

    most, module.MAX_WAITING_RECORDS = module.MAX_WAITING_RECORDS, 20
    counters = Counters()
    try:
        captured = CapturingPolicy(Policy(stage.TERMS, 7), Slow(), counters)
        for turn in range(60):
            captured.decide(turn * 500.0, [])
            if turn == 40:
                gate.set()
                assert caught_up.wait(20)
        captured.close()
    finally:
        module.MAX_WAITING_RECORDS = most
    marks = [one for one in written if one[0] == "x"]
    assert len(marks) == 1 and marks[0][1] < marks[0][2] <= 20_500.0, marks
    replay = Replay()
    assert (
        replay.run(written) is None
        and replay.turn_count > 25
        and counters.get("capture.left_out") > 10
    )


def check_against_another_text() -> None:
    """Another text on the same input: alike where it is the same, parted at the turn where it is not."""
    played, path = Recorded(), Path(policy_module.__file__)
    played.run((HERE / "scenarios" / "violator.txt").read_text())
    for change, parted in (("", False), ("VIOLATOR_MEDIAN_MULTIPLE = 50.0", True)):
        text = path.read_text()
        if change:
            assert text.count("VIOLATOR_MEDIAN_MULTIPLE = 1.5") == 1
            text = text.replace("VIOLATOR_MEDIAN_MULTIPLE = 1.5", change)
        other = Path(tempfile.mkdtemp()) / "policy.py"
        other.write_text(text)
        against = PolicyComparison(load_policy_class(str(other)))
        against.run(played.records[0])
        assert bool(against.divergence_count) == parted and against.turn_count > 20, against
    assert against.current_orders["SetLine"] > against.other_orders["SetLine"], (
        against.current_orders,
        against.other_orders,
    )


def check_anonymised_replays() -> None:
    """With other names for all backends every turn still orders what it ordered, and no name of before is left."""
    for name in ("violator", "fast_errors", "drain"):
        played = Recorded()
        played.run(
            (HERE / "scenarios" / f"{name}.txt")
            .read_text()
            .replace("fleet a b c", "fleet a b c hidden")
        )
        records = anonymise_records(played.records[0], BackendPseudonyms())
        assert "hidden" in str(played.records[0]) and "hidden" not in str(records)
        replay = Replay()
        assert replay.run(records) is None and replay.turn_count > 5


def check_hostile_files() -> None:
    """Bombs, depths, cuts and changed bytes are told in one line, or replay up to there; nothing else is raised."""
    folder, dice = Path(tempfile.mkdtemp()), Random(3)
    played = Recorded()
    played.run((HERE / "scenarios" / "violator.txt").read_text())
    head = pack(HEADER_KIND, msgspec.msgpack.encode({"form": 1}), 0)

    def read(*blocks: bytes) -> object:
        path = folder / "cap-00000001"
        path.write_bytes(head + b"".join(pack(BLOCK_KIND, one, 0) for one in blocks))
        return read_segment(path)

    good = zlib.compress(msgspec.msgpack.encode(played.records[0]))
    assert Replay().run(read(good)[1]) is None
    deep = b"\x91" * 100_000 + b"\xc0"
    for block in (
        zlib.compress(bytes(200 << 20), 9),
        zlib.compress(deep),
        good[:-5],
        b"no",
        zlib.compress(b"\xc1"),
    ):
        assert isinstance(read(block), UnreadableSegment)
    for part in (
        [["t"]],
        [[]],
        [["z", 1]],
        [["k", None, [], [1, {}, []]]],
        [["k", 1, [["b", 0, "a", [1, 2, 3]]], []]],
    ):
        try:
            Replay().run(read(zlib.compress(msgspec.msgpack.encode(part)))[1])
        except CaptureFormatError:
            continue
        assert part == [["t"]], part  # before any keyframe: passed over

    class Reads(Replay):
        def _replay_turn(self, place: int, now: float, events: list, digest: bytes) -> None:
            """What is read is all that is tried here."""

    refused = unharmed = 0
    for _ in range(150):
        records = msgspec.msgpack.decode(msgspec.msgpack.encode(played.records[0][:6]))
        place = records[dice.randrange(len(records))]
        for _ in range(dice.randrange(1, 5)):  # somewhere inside, something else
            inner = [one for one in place if isinstance(one, list) and one]
            place = dice.choice(inner) if inner else place
        place[dice.randrange(len(place))] = dice.choice(
            [None, -1, "b", [], ["b", 99], 1e300, ["d", 1]]
        )
        try:
            Reads().run(records)
            unharmed += 1
        except CaptureFormatError:
            refused += 1
    assert refused > 50 and unharmed > 10, (refused, unharmed)


OUTER_KINDS = {
    "ByHand": "out shares criticality",
    "FleetNews": "form listings",
    "TimerDue": "handle",
    "ProbeResult": "backend outcome took load",
    "PeerNote": "peer content",
    "ProxyJoined": "proxy first_time",
    "ProxyLeft": "proxy",
    "TriesReport": "zone backend total aborted took span load",
    "ProxyLoad": "proxy method total unanswered span",
    "SliceHeat": "slice method total unanswered span",
    "Leased": "slice given",
    "StoredLine": "slice backend weight",
    "SealConfirmed": "proxy seal took",
    "ChannelState": "free unknown broken unsent",
    "OutStands": "backend out",
    "SetLine": "slice backend weight",
    "ClearTable": "slice",
    "BindProxy": "slice proxy",
    "ShutOut": "backend out",
    "SetLevel": "methods slice level retry",
    "Seal": "number everyone",
    "Wake": "delay handle",
    "Probe": "backend",
    "TellPeers": "peer content",
    "Say": "text",
    "Fault": "part error trace",
    "FollowList": "on",
    "FetchList": "",
    "RepeatCall": "seal",
    "DropCall": "seal",
    "Forget": "backend",
    "Listing": "backend zone cell phase started size",
    "Method": "soft_deadline deadline criticality",
    "SiteTerms": (
        "methods sliced one_owner news_on_request sizes_told levels report_every channel_rate"
        " head_lines pending_max pushes_allowed update_window warm_up transit_max proxies"
        " writes write_max write_lease grace bare_max"
    ),
}
OUTER_ENUMS = {
    "Phase": "gone ready draining",
    "Form": "delta full cached missed",
    "Outcome": "ok aborted pushed_back late unreachable broken",
    "Retry": "0 1 2 3",
    "ChannelCondition": "confirmed silent late loses_confirmations slow",
    "OrderClass": "withdrawal missed_withdrawal bare_table readmission",
}
OUTER_HOLDERS = {  # number of slots
    "Histogram": 2,
    "Lowest": 1,
    "Channel": 13,
    "ChannelMessage": 6,
    "DeliveryEvidence": 4,
    "WatchedWithdrawal": 4,
    "Unsettled": 4,
    "DoubtfulCall": 5,
    "DoubtfulCalls": 1,
    "OrderTiming": 1,
    "OrderWait": 4,
    "WriteHold": 9,
}
OUTER_OBJECTS = {"b": 33, "s": 14, "p": 4}  # number of fields
OUTER_STATE = (
    "dice soft ranks by_hand shares backends slices proxies dirty levels_due now fold_at round_at"
    " wake_at cool_until plan_worst follow_at untold untold_at joined_at horizon spans"
    " usual good fair stress let plan seal channel way said owed call unsettled doubtful holds"
    " left_at granted_at list_at condition evidence broad_at timing raised deferred"
)


def check_outer_names() -> None:
    """A rename in the code changes none of the names that captures, replays and counters show, nor their order."""
    assert {name: " ".join(kind.fields) for name, kind in KINDS.items()} == OUTER_KINDS
    assert list(KINDS) == list(OUTER_KINDS)
    assert {
        name: " ".join(str(member.value) for member in kind) for name, kind in ENUMS.items()
    } == OUTER_ENUMS
    assert {name: len(slots) for name, (_, slots) in HOLDERS.items()} == OUTER_HOLDERS
    assert {tag: len(fields(kind)) for tag, (kind, _, _) in NUMBERED_TYPES.items()} == OUTER_OBJECTS
    assert " ".join(STATE) == OUTER_STATE
    for name, kind in KINDS.items():
        assert outer_name(kind.type) == name
    # The names as they are written, not only as the table has them.
    played = Recorded()
    played.run((HERE / "scenarios" / "violator.txt").read_text())
    frame = next(record for record in reversed(played.records[0]) if record[0] == "k")
    _, terms, _, (form, own, objects) = frame
    assert form == 7 and terms[:2] == ["o", "SiteTerms"] and " ".join(own) == OUTER_STATE
    assert own["channel"][:2] == ["h", "Channel"] and own["way"][:2] == ["o", "ChannelState"]
    assert {one[0]: len(one) - 2 for one in objects} == OUTER_OBJECTS
    backend = next(one for one in objects if one[0] == "b")
    assert [value[1] for value in backend if isinstance(value, list)][:2] == ["Phase", "Phase"]
    holders = [value[1] for value in backend if isinstance(value, list) and value[0] == "h"]
    assert holders == ["Lowest", "Histogram"]
    told = {event[1] for record in played.records[0] if record[0] == "t" for event in record[4]}
    assert told == {
        "FleetNews",
        "Leased",
        "ProxyJoined",
        "SealConfirmed",
        "SliceHeat",
        "StoredLine",
        "TimerDue",
        "TriesReport",
    }, told


CHECKS = {name[6:]: check for name, check in list(globals().items()) if name.startswith("check_")}

"""The names that the sockets use, in one table; they are used nowhere else."""

from lifthinge.interface import Phase

# Messages at the controller's address, and news from the relay
KIND, NEWS_KIND, NEWS_FIELDS = "t", "type", "object"
BEAT, BEAT_ANSWER, COLLECTOR, REJECT = "hb", "hb_ok", "telemetry", "reject"
TRIES, SLICE_HEAT, PROXY_LOAD = "upstream_stats", "range_stats", "client_stats"
JOINED, LEFT, CONFIRMED, LEASED, LINE = "attach", "detach", "done", "owner", "entry"

# Their fields
ZONE, BACKEND, SLICE, PROXY, METHOD = "zone", "server", "slice", "proxy", "class"
TOTAL, ABORTED, TOOK, SPAN, LOAD = "tries", "failed", "mean_ms", "span_ms", "load"
SIZE, FRESH, SEAL_HEARD, SEAL_TOOK, GIVEN = "weight", "fresh", "mark", "took_ms", "on"

# The relay
CALL_PATH, NEWS_PATH = "/v3/kv/txn", "/v3/kv/watch"
ORDERS, ACCEPTED = "orders", "accepted"
DO, SET, CLEAR, BIND, OUT, IN, LEVEL, SEAL = "do", "SET", "DEL", "USE", "OUT", "IN", "LIMIT", "SYNC"
TABLE, ALL, METHODS, LET_IN, RETRY, SEAL_SET, EVERYONE = (
    "group",
    "*",
    "routes",
    "admit",
    "policy",
    "nonce_out",
    "on",
)
ERROR, THROTTLED, INVALID = "error", "throttled", "invalid"

# Discovery and probes
LIST_PATH, HEALTH_PATH, LOAD_PATH = "/v1/endpoints", "/health", "/status/load"
SINCE, WAIT = "since", "timeout_ms"
VERSION, WHOLE, LISTED = "version", "full", "servers"
ID, ADDRESS, CELL, PHASE, STARTED = "id", "addr", "cell", "state", "started_ms"
PHASES = {"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE}

# A load value's name in the settings, and on the sockets
LOAD_NAMES = {
    "utilization": "util",
    "throughput": "qps",
    "outstanding": "inflight",
    "backlog": "queue",
    "recent_ms": "latency_ms",
    "errors_per_s": "eps",
}

"""The names that the sockets use, in one table; they are used nowhere else."""

from lifthinge.interface import Phase

# Messages at the controller's address, and news from the relay
MESSAGE_TYPE, EVENT_TYPE, EVENT_FIELDS = "t", "type", "object"
HEARTBEAT, HEARTBEAT_REPLY, COLLECTOR_HELLO, REJECT = "hb", "hb_ok", "telemetry", "reject"
ATTEMPTS_REPORT, SLICE_HEAT, PROXY_LOAD = "upstream_stats", "range_stats", "client_stats"
PROXY_JOINED, PROXY_LEFT, SEAL_CONFIRMED, SLICE_LEASED, TABLE_LINE = (
    "attach",
    "detach",
    "done",
    "owner",
    "entry",
)

# Their fields
ZONE, BACKEND, SLICE, PROXY, METHOD = "zone", "server", "slice", "proxy", "class"
ATTEMPTS, ABORTED_ATTEMPTS, MEAN_LATENCY_MS, SPAN_MS, LOAD = (
    "tries",
    "failed",
    "mean_ms",
    "span_ms",
    "load",
)
WEIGHT, IS_FRESH, CONFIRMED_SEAL, SEAL_LATENCY_MS, IS_LEASED = (
    "weight",
    "fresh",
    "mark",
    "took_ms",
    "on",
)

# The relay
TRANSACTION_PATH, WATCH_PATH = "/v3/kv/txn", "/v3/kv/watch"
ORDERS, ACCEPTED = "orders", "accepted"
ACTION, SET_WEIGHT, CLEAR_TABLE, BIND_PROXY, WITHDRAW, REINSTATE, SET_LEVEL, SEAL = (
    "do",
    "SET",
    "DEL",
    "USE",
    "OUT",
    "IN",
    "LIMIT",
    "SYNC",
)
TABLE, ALL_TABLES, METHODS, ADMITTED_LEVEL, RETRY_POLICY, SEAL_NUMBER, SEAL_EVERYONE = (
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
SINCE_VERSION, WATCH_TIMEOUT_MS = "since", "timeout_ms"
LIST_VERSION, IS_FULL_LIST, BACKEND_LIST = "version", "full", "servers"
BACKEND_ID, BACKEND_ADDRESS, CELL, BACKEND_STATE, STARTED_MS = (
    "id",
    "addr",
    "cell",
    "state",
    "started_ms",
)
PHASE_BY_STATE = {"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE}

# A load value's name in the settings, and on the sockets
LOAD_FIELD_NAMES = {
    "utilization": "util",
    "throughput": "qps",
    "outstanding": "inflight",
    "backlog": "queue",
    "recent_ms": "latency_ms",
    "errors_per_s": "eps",
}

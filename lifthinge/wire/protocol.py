"""All names that messages and HTTP requests have on the wire; no other module spells them out."""

from lifthinge.interface import Phase

# Messages at the controller's listen address, and events of the relay's stream
MESSAGE_TYPE = "t"
EVENT_TYPE = "type"
EVENT_FIELDS = "object"
HEARTBEAT = "hb"
HEARTBEAT_REPLY = "hb_ok"
COLLECTOR_HELLO = "telemetry"
REJECT = "reject"
ATTEMPTS_REPORT = "upstream_stats"
SLICE_HEAT = "range_stats"
PROXY_LOAD = "client_stats"
PROXY_JOINED = "attach"
PROXY_LEFT = "detach"
SEAL_CONFIRMED = "done"
SLICE_LEASED = "owner"
STORED_ENTRY = "entry"

# Fields of these messages and events
ZONE = "zone"
BACKEND = "server"
SLICE = "slice"
PROXY = "proxy"
METHOD = "class"
ATTEMPTS = "tries"
ABORTED_ATTEMPTS = "failed"
MEAN_LATENCY_MS = "mean_ms"
SPAN_MS = "span_ms"
LOAD = "load"
WEIGHT = "weight"
IS_FRESH = "fresh"
CONFIRMED_SEAL = "mark"
SEAL_LATENCY_MS = "took_ms"
IS_LEASED = "on"

# Calls to the relay, and its event stream
TRANSACTION_PATH = "/v3/kv/txn"
WATCH_PATH = "/v3/kv/watch"
ORDERS = "orders"
ACCEPTED = "accepted"
# The field that tells an order's action, and the actions
ACTION = "do"
SET_WEIGHT = "SET"
CLEAR_TABLE = "DEL"
BIND_PROXY = "USE"
WITHDRAW = "OUT"
REINSTATE = "IN"
SET_LEVEL = "LIMIT"
SEAL = "SYNC"
# Other fields of orders
TABLE = "group"
ALL_TABLES = "*"
METHODS = "routes"
ADMITTED_LEVEL = "admit"
RETRY_POLICY = "policy"
SEAL_NUMBER = "nonce_out"
SEAL_ALL_PROXIES = "on"
# Error answers
ERROR = "error"
THROTTLED = "throttled"
INVALID = "invalid"

# Discovery and probes
LIST_PATH = "/v1/endpoints"
HEALTH_PATH = "/health"
LOAD_PATH = "/status/load"
# Parameters of a watch
SINCE_VERSION = "since"
WATCH_TIMEOUT_MS = "timeout_ms"
# The fleet list and its entries
LIST_VERSION = "version"
IS_FULL_LIST = "full"
BACKEND_LIST = "servers"
BACKEND_ID = "id"
BACKEND_ADDRESS = "addr"
CELL = "cell"
BACKEND_STATE = "state"
STARTED_MS = "started_ms"
PHASE_BY_STATE = {"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE}

# Names of load values in the settings, and the names that they have on the wire
LOAD_FIELD_NAMES = {
    "utilization": "util",
    "throughput": "qps",
    "outstanding": "inflight",
    "backlog": "queue",
    "recent_ms": "latency_ms",
    "errors_per_s": "eps",
}

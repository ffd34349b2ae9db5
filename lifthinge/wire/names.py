"""The names that the sockets use, in one table; they are used nowhere else."""
from lifthinge.interface import Phase

# Messages at the controller's address, and news from the relay
KIND, FIELDS = "t", "object"
NEWS_KIND = "type"
BEAT, BEAT_ANSWER, COLLECTOR = "hb", "hb_ok", "telemetry"
TRIES, SLICE_HEAT, PROXY_LOAD = "upstream_stats", "range_stats", "client_stats"
JOINED, LEFT, CONFIRMED, LEASED, LINE = "attach", "detach", "done", "owner", "entry"

# The relay
CALL_PATH, NEWS_PATH = "/v3/kv/txn", "/v3/kv/watch"
ORDERS, ACCEPTED = "orders", "accepted"
DO, SET, CLEAR, BIND, OUT, IN, LEVEL, SEAL = "do", "SET", "DEL", "USE", "OUT", "IN", "LIMIT", "SYNC"
ERROR, THROTTLED, INVALID = "error", "throttled", "invalid"

# Discovery and probes
LIST_PATH, HEALTH_PATH, LOAD_PATH = "/v1/endpoints", "/health", "/status/load"
SINCE, WAIT = "since", "timeout_ms"
PHASES = {"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE}

# A load value's name in the settings, and on the sockets
LOAD_NAMES = {"utilization": "util", "throughput": "qps", "outstanding": "inflight", "backlog": "queue",
              "recent_ms": "latency_ms", "errors_per_s": "eps"}

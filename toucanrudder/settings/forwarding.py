"""Options of the forwarding router: type, bounds, default and help."""

from oslo_config import cfg

from toucanrudder.settings import options

ROUTER = (
    cfg.StrOpt("name", required=True, help="Name of this router; unique."),
    cfg.StrOpt(
        "zone", required=True, help="Availability zone of this instance."
    ),
)

LISTEN = (
    cfg.StrOpt(
        "callers", required=True, help="IP:port for callers' requests."
    ),
    cfg.StrOpt(
        "ready",
        required=True,
        help="IP:port for the load balancer's readiness checks.",
    ),
    cfg.StrOpt("metrics", default="", help="IP:port for metrics, or empty."),
    cfg.StrOpt("peers", required=True, help="IP:port for other routers."),
)

PEERS = (
    cfg.ListOpt(
        "seeds",
        default=[],
        help="IP:port of other routers' peer addresses, comma separated.",
    ),
    *options.PEER_TIMES,
)

RETRIES = (
    cfg.FloatOpt(
        "ratio",
        default=0.2,
        min=0,
        max=1,
        help="Retries allowed per request to a service, over all routers.",
    ),
    cfg.FloatOpt(
        "slack",
        default=50,
        min=0,
        help="Additional retries allowed in one window, over all routers.",
    ),
    cfg.FloatOpt(
        "window_s",
        default=10,
        min=1,
        max=600,
        help="Length of the window in seconds.",
    ),
)

WEIGHTS = (
    cfg.IntOpt(
        "bound_ms",
        default=8000,
        min=1000,
        max=3_600_000,
        help="Milliseconds after new weights are announced; from then on no "
        "request may start on older ones.",
    ),
    cfg.IntOpt(
        "lease_ms",
        default=3000,
        min=500,
        max=600_000,
        help="Milliseconds within which another router takes over ordering "
        "engines to load weights when the previous one is unresponsive.",
    ),
)

CAPS = (
    cfg.FloatOpt(
        "window_s",
        default=10,
        min=1,
        max=600,
        help="Length in seconds of the window in which usage counts against "
        "an organisation's cap.",
    ),
    cfg.FloatOpt(
        "slack",
        default=0,
        min=0,
        help="Units that may be admitted beyond an organisation's cap in one "
        "window, over all routers.",
    ),
    cfg.FloatOpt(
        "overrun",
        default=0,
        min=0,
        max=1,
        help="Share of an organisation's cap that may be admitted beyond it.",
    ),
)

SHUTDOWN = (
    cfg.FloatOpt(
        "grace_s",
        default=8.0,
        min=0.5,
        max=3600,
        help="Seconds between the stop signal and the forced end.",
    ),
    cfg.FloatOpt(
        "notice_s",
        default=2.5,
        min=0,
        max=60,
        help="Seconds until the load balancer has noticed that a router is "
        "not ready and sends it no more connections.",
    ),
)

GROUPS = {
    "router": ROUTER,
    "listen": LISTEN,
    "peers": PEERS,
    "store": options.STORE,
    "retries": RETRIES,
    "weights": WEIGHTS,
    "caps": CAPS,
    "shutdown": SHUTDOWN,
    "limits": options.LIMITS,
    "logging": options.LOGGING,
}

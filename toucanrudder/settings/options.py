"""Options of the router daemon: type, bounds, default and help."""

from oslo_config import cfg

LIMITS = (
    cfg.IntOpt(
        "memory_mb",
        default=0,
        min=0,
        max=1_000_000,
        help="Memory of this instance in megabytes; 0 for what the machine "
        "has.  Callers may occupy half of what it has beyond 96 MB, or an "
        "eighth of it if that is more; those beyond are refused with "
        "memory_full, or their connections are closed.",
    ),
    cfg.IntOpt(
        "max_descriptors",
        default=0,
        min=0,
        max=10_000_000,
        help="Descriptors that the process may open; 0 for its resource "
        "limit.  Callers' connections may take 45 in 100 of them; the "
        "longest idle one is closed for a new one.",
    ),
)

ROUTER = (
    cfg.StrOpt("name", required=True, help="Name of this router; unique."),
    cfg.StrOpt(
        "zone", required=True, help="Availability zone of this instance."
    ),
    cfg.IPOpt("host", default="127.0.0.1", help="Address to listen on."),
    cfg.PortOpt(
        "port", default=8080, help="Port for callers; 0 picks a free one."
    ),
    cfg.PortOpt("admin_port", default=8081, help="Port of the admin API."),
    cfg.PortOpt("peer_port", default=8082, help="Port for other routers."),
    cfg.ListOpt(
        "peer_seeds",
        default=[],
        help="IP:port of other routers' peer ports, comma separated.",
    ),
    cfg.StrOpt(
        "fleet_key",
        required=True,
        secret=True,
        regex=r"^\S{16,}$",
        help="Secret shared by all routers; keys prefix identities and "
        "signs resume tokens.",
    ),
    cfg.FloatOpt(
        "body_timeout_s",
        default=20.0,
        min=0.1,
        max=600,
        help="Seconds within which a caller must send its whole request body.",
    ),
    cfg.FloatOpt(
        "write_timeout_s",
        default=30.0,
        min=0.1,
        max=600,
        help="Seconds for which a caller may leave a written chunk unread.",
    ),
    cfg.FloatOpt(
        "drain_s",
        default=1.0,
        min=0,
        max=60,
        help="Seconds between reporting not ready and refusing new requests; "
        "gives the load balancer time to notice.",
    ),
    cfg.FloatOpt(
        "stop_timeout_s",
        default=600.0,
        min=1,
        max=3600,
        help="Seconds for which a graceful shutdown waits for open requests.",
    ),
    cfg.IntOpt(
        "max_queued",
        default=512,
        min=1,
        max=100000,
        help="Largest number of requests that wait for admission.",
    ),
)

STORE = (
    cfg.StrOpt(
        "address",
        required=True,
        help="IP:port of the platform's object API.",
    ),
    cfg.FloatOpt(
        "timeout_s",
        default=1.0,
        min=0.01,
        max=60,
        help="Timeout in seconds of a call to the store.",
    ),
    cfg.FloatOpt(
        "watch_wait_s",
        default=10.0,
        min=0.1,
        max=300,
        help="Seconds for which a watch waits before it is reopened.",
    ),
)

ADMIN = (
    cfg.StrOpt(
        "token",
        secret=True,
        default="",
        help="Bearer token of operators; if empty, every change is refused.",
    ),
    cfg.StrOpt("tls_certificate", default="", help="PEM file, or empty."),
    cfg.StrOpt("tls_key", default="", help="PEM file, or empty."),
)

#: Intervals of the exchanges between routers, for both daemons.
PEER_TIMES = (
    cfg.FloatOpt(
        "interval_s",
        default=0.5,
        min=0.05,
        max=10,
        help="Seconds between exchanges with a peer.",
    ),
    cfg.FloatOpt(
        "silent_s",
        default=3.0,
        min=0.2,
        max=60,
        help="Seconds without a message after which a peer counts as gone.",
    ),
)

PEERS = (
    cfg.StrOpt("tls_certificate", default="", help="PEM file, or empty."),
    cfg.StrOpt("tls_key", default="", help="PEM file, or empty."),
    cfg.StrOpt(
        "tls_authority",
        default="",
        help="PEM file of the CA that signs the certificates of peers.",
    ),
    cfg.StrOpt(
        "advertise",
        default="",
        help="IP:port at which other routers reach the peer port; if empty, "
        "the address that it listens on.",
    ),
    *PEER_TIMES,
)

UPSTREAMS = (
    cfg.FloatOpt(
        "connect_timeout_s",
        default=1.0,
        min=0.01,
        max=30,
        help="Timeout in seconds for connecting to an upstream.",
    ),
    cfg.FloatOpt(
        "load_interval_s",
        default=0.25,
        min=0.01,
        max=60,
        help="Seconds between load reports of an upstream.",
    ),
    cfg.FloatOpt(
        "silent_event_s",
        default=5.0,
        min=0.05,
        max=600,
        help="Seconds without an event after which a stream is resumed on a "
        "new connection.",
    ),
)

CLAIMS = (
    cfg.FloatOpt(
        "dispatch_within_s",
        default=10.0,
        min=0.1,
        max=60,
        help="Age in seconds up to which the claim of a non-repeatable "
        "call may be dispatched; a router that was paused for longer "
        "refuses it.",
    ),
    cfg.FloatOpt(
        "save_within_s",
        default=0.25,
        min=0.0,
        max=10,
        help="Seconds for which an answer waits to be retained; after that "
        "it is retained in the background.",
    ),
)

LOGGING = (
    cfg.StrOpt(
        "format",
        default="json",
        choices=["json", "text"],
        help="Format of log lines.",
    ),
    cfg.StrOpt(
        "level",
        default="info",
        choices=["debug", "info", "warning", "error"],
        help="Least severe level that is logged.",
    ),
)

POLICY = (
    cfg.StrOpt(
        "placement",
        default="toucanrudder",
        choices=["toucanrudder", "random", "least-loaded", "prefix-hash"],
        help="Placement policy; all but the first are baselines for "
        "benchmarks.",
    ),
    cfg.IntOpt(
        "seed",
        default=0,
        min=0,
        help="Seed of the policy's random numbers; 0 takes one from the "
        "operating system.",
    ),
)

GROUPS = {
    "router": ROUTER,
    "store": STORE,
    "admin": ADMIN,
    "peers": PEERS,
    "upstreams": UPSTREAMS,
    "claims": CLAIMS,
    "limits": LIMITS,
    "logging": LOGGING,
    "policy": POLICY,
}

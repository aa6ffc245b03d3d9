"""Every option of the router daemon: type, bounds, default and help."""

from oslo_config import cfg

ROUTER = (
    cfg.StrOpt("name", required=True, help="Name of this router; unique."),
    cfg.StrOpt(
        "zone", required=True, help="Availability zone of this instance."
    ),
    cfg.IPOpt("host", default="127.0.0.1", help="Address to listen on."),
    cfg.PortOpt("port", default=8080, help="Port for callers; 0 picks one."),
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
        help="Seconds within which a caller must send its whole body.",
    ),
    cfg.FloatOpt(
        "write_timeout_s",
        default=30.0,
        min=0.1,
        max=600,
        help="Seconds a caller may leave a written chunk unread.",
    ),
    cfg.FloatOpt(
        "drain_s",
        default=1.0,
        min=0,
        max=60,
        help="Seconds between not being ready and refusing new work, so "
        "that the balancer has noticed.",
    ),
    cfg.FloatOpt(
        "stop_timeout_s",
        default=600.0,
        min=1,
        max=3600,
        help="Seconds for which a planned stop waits for open requests.",
    ),
    cfg.IntOpt(
        "max_queued",
        default=512,
        min=1,
        max=100000,
        help="Requests that may wait for admission.",
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
        help="Seconds a call to the store may take.",
    ),
    cfg.FloatOpt(
        "watch_wait_s",
        default=10.0,
        min=0.1,
        max=300,
        help="Seconds a watch waits before it is opened anew.",
    ),
)

ADMIN = (
    cfg.StrOpt(
        "token",
        secret=True,
        default="",
        help="Bearer token of operators; empty refuses every change.",
    ),
    cfg.StrOpt("tls_certificate", default="", help="PEM file, or empty."),
    cfg.StrOpt("tls_key", default="", help="PEM file, or empty."),
)

#: Pace of the exchanges between routers, of whatever kind.
PEER_TIMES = (
    cfg.FloatOpt(
        "interval_s",
        default=0.5,
        min=0.05,
        max=10,
        help="Seconds between two exchanges with a peer.",
    ),
    cfg.FloatOpt(
        "silent_s",
        default=3.0,
        min=0.2,
        max=60,
        help="Silence in seconds after which a peer counts as gone.",
    ),
)

PEERS = (
    cfg.StrOpt("tls_certificate", default="", help="PEM file, or empty."),
    cfg.StrOpt("tls_key", default="", help="PEM file, or empty."),
    cfg.StrOpt(
        "tls_authority",
        default="",
        help="PEM file of the authority that signs peers' certificates.",
    ),
    cfg.StrOpt(
        "advertise",
        default="",
        help="IP:port at which other routers reach the peer port; empty "
        "for the address that it listens on.",
    ),
    *PEER_TIMES,
)

UPSTREAMS = (
    cfg.FloatOpt(
        "connect_timeout_s",
        default=1.0,
        min=0.01,
        max=30,
        help="Seconds for opening a connection to an upstream.",
    ),
    cfg.FloatOpt(
        "load_interval_s",
        default=0.25,
        min=0.01,
        max=60,
        help="Seconds between two load reports of an upstream.",
    ),
    cfg.FloatOpt(
        "silent_event_s",
        default=5.0,
        min=0.05,
        max=600,
        help="Silence in seconds after which a stream is resumed on a new "
        "connection.",
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
        help="Seconds for which an answer may wait until it is retained; "
        "past it the answer is retained in the background.",
    ),
)

LOGGING = (
    cfg.StrOpt(
        "format",
        default="json",
        choices=["json", "text"],
        help="Form of log lines.",
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
        "measurements.",
    ),
    cfg.IntOpt(
        "seed",
        default=0,
        min=0,
        help="Seed of the policy's random numbers; 0 takes one from the "
        "system.",
    ),
)

GROUPS = {
    "router": ROUTER,
    "store": STORE,
    "admin": ADMIN,
    "peers": PEERS,
    "upstreams": UPSTREAMS,
    "claims": CLAIMS,
    "logging": LOGGING,
    "policy": POLICY,
}

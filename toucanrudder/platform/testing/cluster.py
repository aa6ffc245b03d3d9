"""A store, upstreams and routers on loopback, for tests of whole requests."""

import asyncio
import contextlib
import textwrap

from toucanrudder.forwarding import daemon
from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.platform import assembly
from toucanrudder.platform.testing import standins
from toucanrudder.settings import forwarding
from toucanrudder.settings import loading

DEADLINE_S = 10

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "stream",
            "host": "llm.example",
            "path_prefix": "/s/",
            "kind": "stream",
            "timeout_ms": 3000,
            "target_latency_ms": 200,
            "target_gap_ms": 200,
            "service": "engines",
            "max_attempts": 2,
            "resumable": True,
        },
        {
            "name": "stream once",
            "host": "llm.example",
            "path_prefix": "/once/",
            "kind": "stream",
            "timeout_ms": 3000,
            "target_latency_ms": 200,
            "target_gap_ms": 200,
            "service": "engines",
            "max_attempts": 1,
        },
        {
            "name": "read",
            "host": "app.example",
            "path_prefix": "/r/",
            "kind": "safe",
            "timeout_ms": 2000,
            "target_latency_ms": 100,
            "traffic_split": [{"service": "desk", "weight": 1}],
            "max_attempts": 2,
        },
        {
            "name": "write",
            "host": "app.example",
            "path_prefix": "/w/",
            "kind": "unsafe",
            "timeout_ms": 600,
            "target_latency_ms": 100,
            "service": "desk",
            "max_attempts": 1,
        },
    ],
    "services": [
        {
            "name": "engines",
            "engine": {
                "slots": 8,
                "kv_capacity_tokens": 100_000,
                "backups": True,
            },
        },
        {"name": "desk"},
    ],
    "limits": {"max_body_bytes": 10_000},
    "tenants": [
        {"name": "north", "api_keys": ["key-of-north"]},
        {"name": "south", "api_keys": ["key-of-south"], "isolated": True},
    ],
}

SETTINGS = """
    [router]
    name = {name}
    zone = za
    [listen]
    callers = 127.0.0.1:0
    ready = 127.0.0.1:0
    peers = 127.0.0.1:0
    [peers]
    seeds = {seeds}
    interval_s = 0.1
    [store]
    address = {store}
    timeout_s = 0.5
    watch_wait_s = {watch_wait_s}
    [retries]
    slack = 1000000
    [shutdown]
    grace_s = 4
    notice_s = 0.2
"""


class Cluster:
    """A store, upstreams and routers of one test.

    Attributes
    ----------
    watch_wait_s : float
        Seconds for which routers' watches of the store wait.
    """

    watch_wait_s = 1.0

    def __init__(self, tmp_path, stack):
        self.tmp_path = tmp_path
        self.stack = stack
        self.store = standins.Store()

    async def start(self):
        """Start the store with the configuration."""
        await self.stack.enter_async_context(self.store.running())
        self.store.put("config", "main", CONFIGURATION)

    async def register(self, server):
        """Start an upstream and register it."""
        await self.stack.enter_async_context(server.running())
        self.store.put("servers", server.incarnation, server.entry())
        return server

    async def server(
        self, service="desk", model="", zone="za", software_version="v1"
    ):
        """Start and register an upstream."""
        server = standins.Server(service, model, zone)
        server.software_version = software_version
        return await self.register(server)

    async def engine(self, software_version="v1"):
        """Start and register an engine."""
        return await self.server(
            "engines", "m", software_version=software_version
        )

    async def raw_server(self, answer):
        """Start and register an upstream that answers with raw bytes."""
        server = standins.RawServer("desk", answer)
        return await self.register(server)

    def settings(self, name, seeds):
        """Return the settings of a router."""
        path = self.tmp_path / f"{name}.ini"
        text = textwrap.dedent(SETTINGS).format(
            name=name,
            seeds=seeds,
            store=self.store.address,
            watch_wait_s=self.watch_wait_s,
        )
        path.write_text(text)
        return loading.load(str(path), forwarding.GROUPS)

    async def router(self, name="r1", seeds="", *, ready=True):
        """Start a router."""
        conf = self.settings(name, seeds)
        router = daemon.Router(conf, assembly.build_platform(conf))
        await self.stack.enter_async_context(router.serving())
        if ready:
            await wait_until(lambda: router.state.is_ready)
        return router

    async def routers(self, count):
        """Start routers; wait until all of them know each other."""
        routers = [await self.router("r1")]
        address = routers[0].peering.node.address
        for number in range(2, count + 1):
            routers.append(await self.router(f"r{number}", address))
        await wait_until(
            lambda: all(each.state.live_routers() == count for each in routers)
        )
        return routers


@contextlib.asynccontextmanager
async def running(tmp_path):
    """Run a store until the end of the block; yield the cluster."""
    async with contextlib.AsyncExitStack() as stack:
        cluster = Cluster(tmp_path, stack)
        await cluster.start()
        yield cluster


async def wait_until(condition, within_s=DEADLINE_S):
    """Wait until a condition holds; fail after the deadline."""
    async with asyncio.timeout(within_s):
        while not condition():
            await asyncio.sleep(0.01)


class Answer:
    """What a caller received."""

    def __init__(self, head, body, is_whole):
        self.head, self.body, self.is_whole = head, body, is_whole
        self.status = head.status if head else None

    def get(self, name):
        """Return a header of the answer."""
        return self.head.get(name)


REQUEST_NUMBERS = iter(range(1, 10**6))


def build_request(path=b"/r/x", *, method=b"GET", body=b"", **fields):
    """Return the head and body of a caller's request."""
    host = b"llm.example" if path[:3] in (b"/s/", b"/on") else b"app.example"
    headers = {
        "Host": host.decode(),
        "Request-Id": f"id{next(REQUEST_NUMBERS)}",
        "Deadline-Ms": "3000",
        "Authorization": "Bearer key-of-north",
    }
    if host.startswith(b"llm"):
        headers["Model"] = "m"
        headers["Token-Counts"] = "300,5"
        headers["Prompt-Prefix"] = "aa:100,bb:200"
    headers |= {key.replace("_", "-"): text for key, text in fields.items()}
    if body:
        headers["Content-Length"] = str(len(body))
    return message.RequestHead(
        method,
        path,
        tuple(
            (name.encode(), text.encode())
            for name, text in headers.items()
            if text is not None
        ),
    ), body


async def send_request(router, *args, **kwargs):
    """Send a request to a router on a new connection."""
    head, body = build_request(*args, **kwargs)
    connection = await client.connect(
        router.request_listener.address, DEADLINE_S
    )
    answer, content = None, b""
    try:
        async with asyncio.timeout(DEADLINE_S):
            connection.send(head, body)
            answer = await connection.next_event()
            while not isinstance(
                event := await connection.next_event(), client.End
            ):
                content += event.content
    except client.ExchangeError:
        return Answer(answer, content, False)
    finally:
        connection.abort()
    return Answer(answer, content, True)


EVENTS = b"".join(map(standins.event, (1, 2, 3)))


async def refuse(address, timeout_s):
    """Refuse a new connection at once."""
    raise client.ExchangeError(client.Fault.NOT_CONNECTED, sent=False)


async def hang(address, timeout_s):
    """Let a new connection time out, as behind a partition."""
    await asyncio.sleep(timeout_s)
    raise client.ExchangeError(client.Fault.CONNECT_TIMEOUT, sent=False)


@contextlib.contextmanager
def cut_off(router, how):
    """Cut a router off from all upstreams during the block."""
    pool = router.state.pool
    connect, pool.connect = pool.connect, how
    pool.close()
    try:
        yield
    finally:
        pool.connect = connect

import asyncio
import contextlib
import random

import attrs
import pytest
import trustme

from toucanrudder import errors
from toucanrudder.document import model
from toucanrudder.membership import routers
from toucanrudder.peers import client
from toucanrudder.peers import credentials
from toucanrudder.peers import loads
from toucanrudder.peers import messages
from toucanrudder.peers import node as nodes
from toucanrudder.peers import server
from toucanrudder.prefix import request_rates
from toucanrudder.quarantine import entry
from toucanrudder.testing import proxy as proxies

TIMEOUT_S = 30


class Router:
    """A node with its server, client and tables, in the test's event loop."""

    def __init__(self, name, generation=0, silent_s=1.0):
        self.table = routers.RouterTable(silent_s)
        self.loads = loads.PeerLoads(silent_s)
        self.entries, self.hot = [], {}
        self.leaving = False
        self.silent_s = silent_s
        self.document = model.Accepted(
            generation, f"id{generation}", name, model.Document()
        )
        self.own = ()
        self.rng = random.Random(name)
        self.node = nodes.Node(
            name,
            1000,
            self.table,
            self.loads,
            lambda: self.document if self.document.generation else None,
            nodes.HeartbeatHooks(
                loads=lambda: self.own,
                leaving=lambda: self.leaving,
                quarantine=lambda _, since_s: tuple(
                    each for each in self.entries if each.at_s >= since_s
                ),
                on_quarantine=lambda new, *_: self.entries.extend(
                    each for each in new if each not in self.entries
                ),
                on_hot_prefixes=lambda peer, *report: self.hot.update(
                    {peer: report}
                ),
            ),
            self.rng,
        )

    def offer(self, accepted):
        self.document = accepted
        return True

    @contextlib.asynccontextmanager
    async def running(self, seeds=(), tls=None, advertise=None):
        self.client = client.PeerClient(
            self.node,
            self.offer,
            seeds,
            tls,
            interval_s=0.1,
            silent_s=self.silent_s,
            rng=self.rng,
        )
        async with server.serve(
            self.node, "127.0.0.1", 0, tls, self.client.handle_heartbeat
        ) as address:
            self.node.address = advertise or address
            task = asyncio.create_task(self.client.run())
            try:
                yield address
            finally:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task

    def live(self):
        now_s = asyncio.get_running_loop().time()
        return {each.name for each in self.table.live(now_s)}


async def until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


async def test_routers_discover_each_other_and_adopt_the_newest_document():
    one, two, three = Router("r1", 3), Router("r2", 5), Router("r3")
    two.own = (messages.UpstreamLoad("e1", 4000, 2),)
    crash = entry.Entry(entry.Kind.CRASH, "f", 1.0, "e1", "i1", True)
    two.entries.append(crash)
    async with contextlib.AsyncExitStack() as stack:
        seed = await stack.enter_async_context(two.running())
        await stack.enter_async_context(one.running([seed]))
        await stack.enter_async_context(three.running([seed]))
        everyone = {"r1", "r2", "r3"}
        for router in (one, two, three):
            name = router.node.name
            await until(lambda r=router, n=name: r.live() == everyone - {n})
            await until(lambda r=router: r.document == two.document)
        now_s = asyncio.get_running_loop().time()
        assert one.loads.prefill_tokens("e1", now_s) == 4000
        assert three.loads.requests("e1", now_s) == 2
        await until(lambda: crash in one.entries)
        two.leaving = True
        await until(lambda: one.live() == {"r3"})


async def test_a_stopped_router_is_detected():
    one, two = Router("r1"), Router("r2")
    async with one.running() as seed:
        async with two.running([seed]):
            await until(lambda: one.live() == {"r2"})
        await until(lambda: not one.live())
        async with two.running([seed]):
            await until(lambda: one.live() == {"r2"})


@pytest.mark.parametrize("fault", ["freeze", "cut"])
async def test_a_broken_connection_between_routers(fault):
    """Routers lose each other as a broken connection stays in use.

    All open connections are cut, or become silent for good while new ones
    work.  Each call has a deadline, and a connection with a failed call is
    not used again; gRPC by itself would keep using a silent one.
    """
    one, two = Router("r1"), Router("r2")
    async with contextlib.AsyncExitStack() as stack:
        proxy = await stack.enter_async_context(proxies.proxied(""))
        seed = await stack.enter_async_context(
            one.running(advertise=proxy.address)
        )
        proxy.target = seed
        await stack.enter_async_context(
            two.running([proxy.address], advertise="127.0.0.1:1")
        )
        await until(lambda: two.live() == {"r1"})
        before = proxy.accepted
        getattr(proxy, fault)()
        await until(lambda: proxy.accepted > before)
        one.own = (messages.UpstreamLoad("e1", 1, 1),)
        loop = asyncio.get_running_loop()
        await until(lambda: two.loads.requests("e1", loop.time()) == 1)


async def test_a_slow_peer_delays_no_other():
    """A peer that does not answer delays news to the other peers.

    The slow peer's connection is open and silent.  Its exchange waits for
    the deadline while the rounds with the other peers continue.
    """
    fast, slow, third = Router("r1"), Router("r2"), Router("r3", silent_s=60)
    async with contextlib.AsyncExitStack() as stack:
        proxy = await stack.enter_async_context(proxies.proxied(""))
        proxy.target = await stack.enter_async_context(
            slow.running(advertise=proxy.address)
        )
        seed = await stack.enter_async_context(fast.running())
        await stack.enter_async_context(
            third.running([proxy.address, seed], advertise="127.0.0.1:1")
        )
        await until(lambda: third.live() == {"r1", "r2"})
        proxy.freeze()
        loop = asyncio.get_running_loop()
        for count in range(1, 5):
            third.own = (messages.UpstreamLoad("e1", 1, count),)
            await until(
                lambda n=count: fast.loads.requests("e1", loop.time()) == n
            )


async def test_peers_to_exchange_with():
    """A peer with a recent exchange is called only for urgent news."""
    router = Router("r1")
    peers = client.PeerClient(
        router.node,
        router.offer,
        (),
        None,
        interval_s=1.0,
        silent_s=9.0,
        rng=router.rng,
    )
    addresses = [f"10.0.0.{number}:1" for number in range(20)]
    heartbeat = attrs.evolve(
        HEARTBEAT, sender=routers.Member("x", addresses[3], 1)
    )
    peers.handle_heartbeat(heartbeat)
    now_s = peers._last_exchange_s[addresses[3]]
    for address in addresses[:4]:
        router.table.record_heartbeat(address, address, 1, now_s)
    targets = peers._exchange_targets(now_s, is_urgent=False)
    assert sorted(targets) == addresses[:3]
    assert (
        sorted(peers._exchange_targets(now_s, is_urgent=True)) == addresses[:4]
    )
    assert addresses[3] in peers._without_recent_exchange(
        addresses, now_s + 0.8
    )
    for address in addresses[: client.LARGE_FLEET_SIZE]:
        router.table.record_heartbeat(address, address, 1, now_s)
    assert (
        len(peers._exchange_targets(now_s, is_urgent=False))
        == client.MAX_EXCHANGES
    )
    for address in addresses:
        router.table.record_heartbeat(address, address, 1, now_s)
    many = peers._exchange_targets(now_s, is_urgent=False)
    assert len(many) == client.MAX_EXCHANGES_LARGE_FLEET
    assert len(peers._exchange_targets(now_s, is_urgent=True)) == 8


class Authority:
    """A certificate authority and the files of one of its certificates."""

    def __init__(self, directory, name=credentials.PEER_NAME, ca=None):
        self.ca = ca or trustme.CA()
        directory.mkdir(exist_ok=True)
        self.paths = [directory / n for n in ("cert", "key", "ca")]
        self.issue(name)

    def issue(self, name=credentials.PEER_NAME):
        certificate = self.ca.issue_cert(name)
        blobs = (
            certificate.cert_chain_pems[0].bytes(),
            certificate.private_key_pem.bytes(),
            self.ca.cert_pem.bytes(),
        )
        for path, blob in zip(self.paths, blobs, strict=True):
            path.write_bytes(blob)

    def credentials(self):
        return credentials.Credentials(*map(str, self.paths))


@pytest.mark.parametrize("intruder", ["plain", "other authority", "no name"])
async def test_clients_without_a_router_certificate_are_refused(
    tmp_path, intruder
):
    """A process without a router's certificate can read and change nothing.

    It connects without TLS, with a certificate of another authority, or
    with one of the right authority for another name.
    """
    ours = Authority(tmp_path / "ours")
    intruder_credentials = {
        "plain": lambda: None,
        "other authority": Authority(tmp_path / "other").credentials,
        "no name": Authority(
            tmp_path / "service", "service.example", ours.ca
        ).credentials,
    }[intruder]()
    one, two = Router("r1", 3), Router("r2")
    intruding_router = Router("bad", 9)
    async with contextlib.AsyncExitStack() as stack:
        seed = await stack.enter_async_context(
            one.running(tls=ours.credentials())
        )
        refusals = []
        discard = client.ChannelPool.discard
        await stack.enter_async_context(
            intruding_router.running([seed], intruder_credentials)
        )
        intruding_router.client._channels.discard = lambda address: (
            refusals.append(address),
            discard(intruding_router.client._channels, address),
        )[1]
        await until(lambda: len(refusals) > 2)
        await stack.enter_async_context(
            two.running([seed], ours.credentials())
        )
        await until(lambda: two.document == one.document)
        assert one.live() == {"r2"}
        assert not intruding_router.live()
        assert one.document.generation == 3
        assert intruding_router.document.generation == 9


async def test_renewed_certificates_are_used_without_a_restart(tmp_path):
    """Routers need a restart after certificates are renewed.

    Both certificates and the authority are replaced in the files.  New
    handshakes use the new contents; the old authority is not trusted any
    more.
    """
    files = [Authority(tmp_path / str(i)) for i in range(2)]
    files[1].ca = files[0].ca
    files[1].issue()
    one, two, late = Router("r1"), Router("r2"), Router("r3")
    async with contextlib.AsyncExitStack() as stack:
        seed = await stack.enter_async_context(
            one.running(tls=files[0].credentials())
        )
        await stack.enter_async_context(
            two.running([seed], files[1].credentials())
        )
        await until(lambda: two.live() == {"r1"})
        renewed = trustme.CA()
        for authority in files:
            authority.ca = renewed
            authority.issue()
        newcomer = Authority(tmp_path / "late", ca=renewed).credentials()
        await stack.enter_async_context(late.running([seed], newcomer))
        await until(lambda: late.live() == {"r1", "r2"})
        await until(lambda: two.live() == {"r1", "r3"})


HEARTBEAT = messages.Heartbeat(
    sender=routers.Member("r1", "a:1", 1 << 50, 3, True),
    generation=7,
    loads=(messages.UpstreamLoad("e1", 4000, 2),),
    quarantine=(entry.Entry(entry.Kind.CRASH, "f", 1.5, "e", "i", True),),
    hot_prefixes=(request_rates.HotPrefix(b"\x00\xff", 1.5),),
    total_rate_per_s=2.5,
    members=(routers.Member("r2", "b:1", 5, 6),),
    want_all=True,
    weights=(
        messages.Weights(
            "m",
            (
                messages.PublishedVersion(3, 0.5),
                messages.PublishedVersion(2, 9.25),
            ),
        ),
    ),
)


def test_heartbeat_wire_round_trip():
    wire = messages.to_wire(HEARTBEAT).SerializeToString()
    parsed = messages.peers_pb2.Heartbeat.FromString(wire)
    assert messages.from_wire(parsed) == HEARTBEAT


def test_weights_of_a_peer_that_tells_no_ages_count_as_just_published():
    wire = messages.to_wire(HEARTBEAT)
    del wire.weights[0].published[:]
    published = messages.PublishedVersion(3, 0.0)
    assert messages.from_wire(wire).weights == (
        messages.Weights("m", (published,)),
    )


@pytest.mark.parametrize(
    "change",
    [
        {"sender": routers.Member("", "a:1", 1)},
        {"sender": routers.Member("r1", "", 1)},
        {"total_rate_per_s": float("nan")},
        {"hot_prefixes": (request_rates.HotPrefix(b"k", float("inf")),)},
        {
            "weights": (
                messages.Weights("m", (messages.PublishedVersion(3, -1.0),)),
            )
        },
    ],
)
def test_a_bad_heartbeat_is_refused(change):
    wire = messages.to_wire(attrs.evolve(HEARTBEAT, **change))
    with pytest.raises(messages.BadHeartbeat):
        messages.from_wire(wire)


@attrs.frozen
class Settings:
    tls_certificate: str = ""
    tls_key: str = ""
    tls_authority: str = ""


@pytest.mark.parametrize(
    "settings",
    [Settings(tls_key="k"), Settings("/none/c", "/none/k", "/none/a")],
)
def test_certificates_missing_from_settings(settings):
    with pytest.raises(errors.RudderError) as caught:
        credentials.from_settings(settings)
    assert caught.value.code is errors.Code.SETTINGS_INVALID

"""Routers rely on a single software version only if that is certain."""

import random

import attrs
import pytest

from toucanrudder.forwarding import model
from toucanrudder.forwarding import registry as registries
from toucanrudder.forwarding.streams import directory
from toucanrudder.forwarding.streams import resuming
from toucanrudder.forwarding.streams import software
from toucanrudder.peers import messages
from toucanrudder.store import continuity

SERVICE = "s"
TIMEOUT_S = 3.0
WINDOW_S = 2 * TIMEOUT_S + resuming.WINDOW_MARGIN_S
STEP_S = 0.1
GOSSIP_S = 0.5
SILENT_S = 3.0
LENGTH_S = 45.0


def upstream(name, version):
    return model.Upstream(name, SERVICE, f"{name}:1", software_version=version)


OLD, NEW = upstream("i1", "v1"), upstream("i2", "v2")


def resumption(registry):
    return resuming.StreamResumption(
        registry,
        lambda: {SERVICE: TIMEOUT_S},
        directory.OriginDirectory("r", tuple, lambda now_s: set()),
        max_wait_s=TIMEOUT_S,
    )


def observed(*sightings):
    """Return what a router knows that has seen these for some times."""
    versions = software.SoftwareVersions()
    for from_s, until_s, upstreams in sightings:
        for tenth in range(round(from_s * 10), round(until_s * 10)):
            versions.observe(upstreams, tenth / 10, is_current=True)
    return versions


SOLE = {
    "one version for long": (observed((0, 9, [OLD])), "v1"),
    "one version since a start": (observed((5, 9, [OLD])), None),
    "another one now": (observed((0, 8, [OLD]), (8, 9, [OLD, NEW])), None),
    "another one left a moment ago": (
        observed((0, 5, [OLD, NEW]), (5, 9, [OLD])),
        None,
    ),
    "another one left long ago": (
        observed((0, 1, [OLD, NEW]), (1, 9, [OLD])),
        "v1",
    ),
    "suspended meanwhile": (observed((0, 4, [OLD]), (8, 9, [OLD])), None),
    "no upstream": (observed((0, 9, [])), None),
}


@pytest.mark.parametrize(
    ("versions", "expected"), SOLE.values(), ids=SOLE.keys()
)
def test_version_counts_as_single_only_if_all_others_would_be_known(
    versions, expected
):
    assert versions.sole_version(SERVICE, WINDOW_S, 9.0) == expected


def test_started_router_learns_from_a_peer_how_long_a_version_was_single():
    peer, started = observed((0, 9, [OLD])), observed((8, 9, [OLD]))
    started.merge(peer.news(9.0), 9.0)
    assert started.sole_version(SERVICE, WINDOW_S, 9.0) == "v1"


def test_started_router_learns_from_a_peer_what_has_left():
    peer = observed((0, 5, [OLD, NEW]), (5, 9, [OLD]))
    started = observed((8, 9, [OLD]))
    started.merge(peer.news(9.0), 9.0)
    assert started.sole_version(SERVICE, WINDOW_S, 9.0) is None


def at_standstill(until_s=9.0):
    """Return what a router knows that last ran at a time."""
    registry = registries.Registry()
    registry.replace([OLD], 0.0)
    registry.add_served_span(continuity.Span(0.0, until_s))
    streams = resumption(registry)
    for tenth in range(round(until_s * 10) + 1):
        streams.tick(tenth / 10)
    return streams


#: What a router reads first that has stood still from second 9 to 14.
WAKING = {
    "a stream that is taken up": lambda streams, told: None,
    "the registered upstreams": lambda streams, told: streams.observe(14.0),
    "a tick": lambda streams, told: streams.tick(14.0),
    "news from before": lambda streams, told: streams.merge(*told, 14.0),
    "news from before, after a tick": lambda streams, told: (
        streams.tick(14.0),
        streams.merge(*told, 14.1),
    ),
}


@pytest.mark.parametrize("read_first", WAKING.values(), ids=WAKING.keys())
def test_router_that_stood_still_relies_on_no_news_from_before(read_first):
    streams = at_standstill()
    assert streams.sole_version(SERVICE, 9.0) == "v1"
    served = messages.Served(for_s=9.0, age_s=0.0)
    read_first(streams, (at_standstill().news(9.0), served))
    assert streams.sole_version(SERVICE, 14.1) is None


def test_router_that_stood_still_relies_on_later_news():
    streams = at_standstill()
    for tenth in range(140, 151):
        streams.tick(tenth / 10)
    later = at_standstill(14.9)
    streams.merge(
        later.news(14.9), messages.Served(for_s=14.9, age_s=0.1), 15.0
    )
    assert streams.sole_version(SERVICE, 15.0) == "v1"


STARTED = {
    "v2 came last": (1000, 2000, ["v2"]),
    "v1 came last": (2000, 1000, ["v1"]),
    "not known": (0, 0, []),
    "of one not known": (1000, 0, []),
}


@pytest.mark.parametrize(
    ("old_ms", "new_ms", "expected"), STARTED.values(), ids=STARTED.keys()
)
def test_started_router_takes_the_version_that_came_last_for_new(
    old_ms, new_ms, expected
):
    upstreams = [
        attrs.evolve(OLD, started_at_ms=old_ms),
        attrs.evolve(NEW, started_at_ms=new_ms),
    ]
    versions = observed((0, 1, upstreams))
    for now_s, new in (
        (1.0, expected),
        (software.NEW_VERSION_HOLD_S + 0.1, []),
    ):
        assert new == [
            each.software_version
            for each in upstreams
            if versions.is_new(SERVICE, each.software_version, now_s)
        ]


def test_peer_that_was_cut_off_does_not_vouch_for_its_list():
    versions = observed((0, 9, [OLD]))
    versions.observe([OLD], 9.0, is_current=False)
    assert versions.news(9.0).complete_for_s is None


@attrs.define(eq=False)
class Router:
    """A router on virtual time.

    Parameters
    ----------
    island : int
        Routers of one island reach each other.
    reaches_store : bool
        Whether the registry answers it.
    """

    name: int
    island: int = 0
    reaches_store: bool = True
    lives: bool = True
    stopped_at_s: float | None = None
    stopped_until_s: float = 0.0
    unread: list = attrs.field(factory=list)
    heard_s: dict = attrs.field(factory=dict)
    registry: registries.Registry = attrs.field(factory=registries.Registry)
    streams: resuming.StreamResumption = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.streams = resumption(self.registry)

    def step(self, store, now_s):
        if self.reaches_store:
            self.registry.replace(store, now_s)
            self.registry.add_served_span(continuity.Span(now_s, now_s))
        self.streams.has_silent_peer = lambda: any(
            now_s - heard_s > SILENT_S for heard_s in self.heard_s.values()
        )
        self.streams.tick(now_s)

    @property
    def runs(self):
        return self.lives and self.stopped_at_s is None

    def heartbeat(self, now_s):
        """Return what this router tells a peer."""
        span = self.registry.served
        served = span and messages.Served(
            for_s=span.until_s - span.since_s, age_s=now_s - span.until_s
        )
        news = self.streams.news(now_s)
        return self.name, dict(self.heard_s), news, served

    def hear(self, heartbeat, now_s):
        sender, heard_s, news, served = heartbeat
        self.heard_s[sender] = now_s
        for name, at_s in heard_s.items():
            if name != self.name:
                known_s = self.heard_s.get(name, at_s)
                self.heard_s[name] = max(known_s, at_s)
        self.streams.merge(news, served, now_s)

    def wake(self, now_s):
        """Run again; the time of a standstill does not count as silence."""
        stood_s = now_s - self.stopped_at_s
        self.stopped_at_s = None
        self.heard_s = {
            name: at_s + stood_s for name, at_s in self.heard_s.items()
        }
        for heartbeat in self.unread:
            self.hear(heartbeat, now_s)
        self.unread.clear()

    def begins_streams_at_new(self, now_s):
        versions = self.streams.software
        return versions.is_known(NEW) and not versions.is_new(
            SERVICE, "v2", now_s
        )


def cut(rng, routers):
    """Cut some routers off from others, from the store or from both."""
    count = rng.choice((1, len(routers) // 2, len(routers) - 1))
    for router in rng.sample(routers, count):
        kind = rng.randrange(4)
        router.island = kind % 2
        router.reaches_store = kind < 2
        router.lives = router.lives and rng.random() < 0.9


@pytest.mark.parametrize(
    ("size", "seed"),
    [(8, seed) for seed in range(40)] + [(82, 1), (82, 2), (195, 3)],
)
def test_no_router_takes_a_version_for_single_once_another_begins_streams(
    size, seed
):
    rng = random.Random(seed)
    routers = [Router(number) for number in range(size)]
    store = [OLD]
    new_at_s = rng.uniform(14.0, 20.0)
    cuts_s = [rng.uniform(11.0, 30.0) for _ in range(3)]
    was_certain = False
    for tenth in range(round(LENGTH_S / STEP_S)):
        now_s = tenth * STEP_S
        if now_s >= new_at_s:
            store = [OLD, NEW]
        while cuts_s and now_s >= min(cuts_s):
            cuts_s.remove(min(cuts_s))
            cut(rng, routers)
        living = [router for router in routers if router.lives]
        for router in living:
            router.step(store, now_s)
        if tenth % round(GOSSIP_S / STEP_S) == 0:
            for router in living:
                near = [p for p in living if p.island == router.island]
                for peer in rng.sample(near, min(3, len(near))):
                    if peer is not router:
                        router.hear(peer.heartbeat(now_s), now_s)
                        peer.hear(router.heartbeat(now_s), now_s)
        certain = [
            router.name
            for router in living
            if router.streams.sole_version(SERVICE, now_s) == "v1"
        ]
        was_certain |= len(certain) == len(living)
        if any(router.begins_streams_at_new(now_s) for router in living):
            assert not certain
    assert was_certain


def stop(rng, routers, now_s):
    """Let some routers stand still for a while."""
    for router in rng.sample(routers, rng.choice((1, len(routers) // 2))):
        router.stopped_at_s = now_s
        router.stopped_until_s = now_s + rng.uniform(0.5, 9.0)


def restart(rng, routers):
    """Replace some routers by new processes under the same names."""
    for router in rng.sample(routers, rng.choice((1, len(routers) // 2))):
        if router.runs:
            routers[router.name] = Router(router.name, router.island)


def exchange(rng, routers, now_s):
    """Let each router tell some others; one that stands still reads later."""
    for router in [each for each in routers if each.runs]:
        for peer in rng.sample(routers, min(3, len(routers))):
            if peer is router:
                continue
            if peer.runs:
                router.hear(peer.heartbeat(now_s), now_s)
                peer.hear(router.heartbeat(now_s), now_s)
            else:
                peer.unread.append(router.heartbeat(now_s))


@pytest.mark.parametrize(
    ("size", "seed"), [(8, seed) for seed in range(60)] + [(82, 1), (82, 2)]
)
def test_no_router_that_stood_still_takes_a_version_for_single(size, seed):
    rng = random.Random(seed)
    routers = [Router(number) for number in range(size)]
    old = attrs.evolve(OLD, started_at_ms=1_000)
    new = attrs.evolve(NEW, started_at_ms=90_000)
    new_at_s = rng.uniform(14.0, 20.0)
    stops_s = [new_at_s + rng.uniform(-6.0, 6.0) for _ in range(3)]
    restarts_s = [new_at_s + rng.uniform(-1.0, 4.0) for _ in range(2)]
    was_certain = False
    for tenth in range(round(LENGTH_S / STEP_S)):
        now_s = tenth * STEP_S
        store = [old, new] if now_s >= new_at_s else [old]
        while stops_s and now_s >= min(stops_s):
            stops_s.remove(min(stops_s))
            stop(rng, [each for each in routers if each.runs], now_s)
        while restarts_s and now_s >= min(restarts_s):
            restarts_s.remove(min(restarts_s))
            restart(rng, routers)
        begins = any(
            each.begins_streams_at_new(now_s) for each in routers if each.runs
        )
        certain = []
        for router in routers:
            if router.stopped_at_s is not None:
                if now_s < router.stopped_until_s:
                    continue
                if rng.random() < 0.5:
                    # A stream is taken up before anything else is read.
                    certain.append(router.streams.sole_version(SERVICE, now_s))
                router.wake(now_s)
                certain.append(router.streams.sole_version(SERVICE, now_s))
            router.step(store, now_s)
            certain.append(router.streams.sole_version(SERVICE, now_s))
        if tenth % round(GOSSIP_S / STEP_S) == 0:
            exchange(rng, routers, now_s)
        was_certain |= "v1" in certain
        if begins:
            assert "v1" not in certain
    assert was_certain


def test_news_of_software_survive_the_wire():
    news = observed((0, 5, [OLD, NEW]), (5, 9, [OLD])).news(9.0)
    wire = messages._software_to_wire(news)
    back = messages._software_from_wire(wire)
    assert back.complete_for_s == pytest.approx(news.complete_for_s)
    assert [each.version for each in back.versions] == ["v1", "v2"]
    assert back.versions[1].last_age_s == pytest.approx(4.1, abs=0.01)

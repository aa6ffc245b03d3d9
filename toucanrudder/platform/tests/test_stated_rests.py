"""Upstreams that ask for rest when they refuse a request."""

import pytest

from toucanrudder import clock
from toucanrudder.forwarding.statements import answers
from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import heads
from toucanrudder.platform.testing import standins

RESTS = [
    (503, b"2.5", 2.5),
    (503, b" 3 ", 3.0),
    (429, b"1", None),
    (503, b"0", 0.0),
    (503, b"3600", 3600.0),
    (503, b"-1", None),
    (503, b"inf", None),
    (503, b"nan", None),
    (503, b"", None),
    (503, b"soon", None),
    (503, b"Fri, 04 Dec 2026 10:00:00 GMT", None),
    (503, None, None),
    (500, b"2", None),
    (200, b"2", None),
]


def asked_rest_s(status, *headers):
    return answers.asked_rest_s(status, heads.read_facts(status, *headers))


def test_rest_of_a_refusal_by_429_needs_its_proof():
    not_executed = (b"Not-Executed", b"1")
    assert asked_rest_s(429, (b"Retry-After", b"1"), not_executed) == 1.0


def test_rest_of_another_process_at_the_address_is_ignored():
    rest = (b"Retry-After", b"1")
    assert asked_rest_s(503, (b"Instance-Id", b"v"), rest) is None
    assert asked_rest_s(503, (b"Instance-Id", b"u"), rest) == 1.0


@pytest.mark.parametrize(("status", "text", "rest_s"), RESTS)
def test_rest_is_read_leniently(status, text, rest_s):
    headers = () if text is None else ((b"Retry-After", text),)
    assert asked_rest_s(status, *headers) == rest_s


class Refusing:
    """A behaviour of upstreams that refuse and ask for rest."""

    def __init__(self, rest, *, names_request=True):
        self.rest = rest
        self.names_request = names_request
        self.refused = 0

    async def __call__(self, upstream, run, answer):
        self.refused += 1
        headers = [(b"Not-Executed", b"1"), (b"Retry-After", self.rest)]
        if self.names_request:
            headers.append((b"Request-Id", run.request_id.encode()))
        await answer.send_whole(503, tuple(headers), b"")


async def test_a_rest_has_no_fallback_and_callers_hear_its_end(cluster):
    desk = await cluster.server()
    router = await cluster.router()
    refusing = desk.default_behaviour = Refusing(b"5")
    for path in (b"/r/x", b"/w/x") * 3:
        answer = await clusters.send_request(router, path)
        assert answer.status == 503
        assert 4.0 <= float(answer.get(b"retry-after")) <= 9.0
        assert b"1 resting" in answer.body
    assert refusing.refused == 1


async def test_other_upstreams_serve_meanwhile(cluster):
    tired, other = [await cluster.server() for _ in range(2)]
    router = await cluster.router()
    refusing = tired.default_behaviour = Refusing(b"5")
    answers = [await clusters.send_request(router) for _ in range(12)]
    assert {answer.status for answer in answers} == {200}
    assert refusing.refused <= 1
    assert len(other.runs) == 12


async def test_a_rest_is_kept_though_its_entry_lapses(cluster):
    desk = await cluster.server()
    router = await cluster.router()
    refusing = desk.default_behaviour = Refusing(b"5")
    await clusters.send_request(router)
    cluster.store.delete("servers", desk.incarnation)
    registry = router.state.registry
    await clusters.wait_until(lambda: not registry.incarnations)
    cluster.store.put("servers", desk.incarnation, desk.entry())
    await clusters.wait_until(lambda: registry.incarnations)
    assert (await clusters.send_request(router)).status == 503
    assert refusing.refused == 1


async def test_a_rest_is_believed_without_the_request_id(cluster):
    desk = await cluster.server()
    router = await cluster.router()
    assert (await clusters.send_request(router)).status == 200
    refusing = desk.default_behaviour = Refusing(b"5", names_request=False)
    for _ in range(4):
        # On the kept connection the first of them proves nothing else.
        assert (await clusters.send_request(router)).status in (502, 503)
    assert refusing.refused == 1


async def test_requests_go_on_after_a_rest(cluster):
    desk = await cluster.server()
    router = await cluster.router()
    desk.behaviours = [Refusing(b"0.3")]
    assert (await clusters.send_request(router)).status == 503
    await clusters.wait_until(
        lambda: (
            router.state.asked_rests.wait_s(desk.incarnation, clock.now_s())
            <= 0
        )
    )
    for _ in range(3):
        assert (await clusters.send_request(router)).status == 200
    assert router.state.asked_rests.is_empty


async def test_a_stream_is_not_continued_where_rest_is_asked_for(cluster):
    first, second = [await cluster.engine() for _ in range(2)]
    router = await cluster.router()
    first.default_behaviour = standins.breaks_after_copy
    second.default_behaviour = standins.breaks_after_copy

    def rest(engine):
        router.state.record_rest(
            router.state.registry.get(engine.incarnation),
            5.0,
            clock.now_s(),
        )

    connect = router.state.pool.connect

    async def connect_and_rest(address, timeout_s):
        # The engine that is not chosen asks for rest meanwhile.
        rest(second if address == first.address else first)
        return await connect(address, timeout_s)

    router.state.pool.connect = connect_and_rest
    answer = await clusters.send_request(router, b"/once/x")
    assert not answer.is_whole
    assert len(first.runs) + len(second.runs) == 1

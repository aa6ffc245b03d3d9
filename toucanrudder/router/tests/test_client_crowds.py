"""Crowds of clients that keep to no limit, before the own interface."""

import asyncio
import contextlib
import json

import aiohttp
import attrs
import pytest

from toucanrudder.testing import crowds
from toucanrudder.testing import fleet as fleets

pytestmark = [pytest.mark.alone, pytest.mark.timeout(300)]

#: Memory and descriptors of the instance, by the router's settings.
MACHINE_MB = 88
MACHINE_DESCRIPTORS = 300

#: Memory beyond its own in calm that the process may take.
GROWTH_BYTES = 20 * 2**20

MODEL_BODY_BYTES = 4 * 2**20
SERVICE_BODY_BYTES = 2**20

DEADLINE_S = 60.0

#: Clients that leave, on a machine that has memory for all; descriptors and
#: share of a core that may be left to them a second later.
LEAVING = 400
LARGE_MACHINE_MB = 1_000
LEFT_DESCRIPTORS = 20
LEFT_SHARE = 0.1

#: Time for which the service works on a call.
SERVICE_DELAY_S = 5.0


def _head(path, key="key-of-acme"):
    return (
        f"POST {path} HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer {key}\r\n"
    ).encode()


@attrs.define(eq=False)
class Running:
    """A router's process with its upstreams."""

    fleet: fleets.Fleet
    memory: crowds.MemoryWatch | None = None

    @property
    def process(self):
        return self.fleet.routers[0].process

    def address(self, listener):
        return self.process.ready[listener]

    async def send(self, prompt="hello"):
        """Send an ordinary request on a new connection."""
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S)
        body = {"model": fleets.MODEL, "prompt": prompt, "max_tokens": 2}
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.post(
                f"{self.fleet.routers[0].url}/v1/completions",
                json=body,
                headers=fleets.authorization(),
            ) as response:
                await response.read()
                return response.status

    async def serves(self):
        """Whether an ordinary request is answered, if need be when retried."""
        async with asyncio.timeout(DEADLINE_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    if await self.send() == 200:
                        return True
                await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def _running(max_descriptors=4_000, memory_mb=MACHINE_MB):
    plan = fleets.Plan(
        services=1,
        routes=[{"method": "POST", "path_prefix": "/", "repeatable": True}],
        service_options={"delay_s": SERVICE_DELAY_S},
        settings={
            "limits": {
                "memory_mb": memory_mb,
                "max_descriptors": max_descriptors,
            }
        },
    )
    async with fleets.running(plan) as fleet:
        running = Running(fleet)
        assert await running.serves()
        addresses = map(running.address, ("address", "admin_address"))
        async with crowds.watched_memory(
            running.process.pid, addresses
        ) as memory:
            running.memory = memory
            yield running


async def _check_after(running):
    """Check what must hold while a crowd is there."""
    assert await running.serves()
    assert running.process.process.returncode is None
    assert running.memory.growth_bytes() < GROWTH_BYTES


def _largest_body():
    text = json.dumps({"model": fleets.MODEL, "prompt": "", "max_tokens": 1})
    prompt = "x" * (MODEL_BODY_BYTES - len(text))
    return text.replace('""', f'"{prompt}"').encode()


def _body_of_many_values(value=b'{"a":"b"},'):
    """Return a body of the largest size with as many values as fit."""
    text = json.dumps(
        {"model": fleets.MODEL, "prompt": "p", "max_tokens": 1, "x": []}
    ).encode()
    count, rest = divmod(MODEL_BODY_BYTES - len(text) - 1, len(value))
    return text.replace(b"[]", b"[" + value * count + b" " * rest + b"0]")


def _sends_body(body):
    return crowds.sends(
        MODEL + b"Content-Length: %d\r\n\r\n" % len(body) + body
    )


MODEL, SERVICE = _head("/v1/completions"), _head("/services/desk/x")
UNKNOWN = _head("/v1/completions", "unknown")
UNKNOWN_PATH = b"GET /unknown HTTP/1.1\r\nHost: r\r\n\r\n"
ALL, SERVICE_ALL = MODEL_BODY_BYTES, SERVICE_BODY_BYTES

CROWDS = {
    "whole bodies": (
        60,
        crowds.states_length(SERVICE, SERVICE_ALL, SERVICE_ALL),
    ),
    "whole bodies in large chunks": (
        60,
        crowds.sends_chunks(SERVICE, SERVICE_ALL, 65_536, is_whole=True),
    ),
    "middle-sized whole bodies": (
        400,
        crowds.states_length(SERVICE, 60_000, 60_000),
    ),
    "whole model requests": (24, _sends_body(_largest_body())),
    "model requests of many values": (
        2,
        _sends_body(_body_of_many_values()),
    ),
    "model requests of empty lists": (
        2,
        _sends_body(_body_of_many_values(b"[],")),
    ),
    "small whole bodies": (
        1_200,
        crowds.states_length(SERVICE, 2_000, 2_000),
    ),
    "middle-sized bodies just short": (
        600,
        crowds.states_length(MODEL, 60_000, 59_999),
    ),
    "just short": (24, crowds.states_length(MODEL, ALL, ALL - 1)),
    "just short in pieces": (
        24,
        crowds.states_length(MODEL, ALL, ALL - 1, 4_096),
    ),
    "just short with unknown keys": (
        200,
        crowds.states_length(UNKNOWN, ALL, ALL - 1),
    ),
    "just short to a service": (
        60,
        crowds.states_length(SERVICE, SERVICE_ALL, SERVICE_ALL - 1),
    ),
    "large chunks": (24, crowds.sends_chunks(MODEL, ALL - 65_536, 65_536)),
    "small chunks": (32, crowds.sends_chunks(MODEL, 2**20, 16)),
    "chunks of one byte": (50, crowds.sends_chunks(MODEL, 2**14, 1)),
    "far too large by its head": (
        50,
        crowds.states_length(MODEL, 1000 * ALL, 4 * ALL),
    ),
    "chunks without end": (50, crowds.sends_chunks(MODEL, 4 * ALL, 65_536)),
    "heads without end": (
        100,
        crowds.sends(MODEL + (b"X: " + b"y" * 8_000 + b"\r\n") * 60),
    ),
    "heads of many fields": (
        100,
        crowds.sends(SERVICE + b"a:b\r\n" * 12_000 + b"\r\n"),
    ),
    "heads of some fields": (
        300,
        crowds.sends(SERVICE + b"a:b\r\n" * 100 + b"\r\n"),
    ),
    "bytes behind a request": (
        200,
        crowds.sends(SERVICE + b"Content-Length: 0\r\n\r\n" + b"x" * 200_000),
    ),
    "requests behind one another": (100, crowds.sends(UNKNOWN_PATH * 1_500)),
}


@pytest.mark.parametrize(
    ("count", "behave"), CROWDS.values(), ids=CROWDS.keys()
)
async def test_crowd_of_callers_ends_no_process(count, behave):
    """Guards against a process that runs out of memory or hangs."""
    async with _running() as running:
        async with crowds.crowd(running.address("address"), behave, count):
            await _check_after(running)
        await _check_after(running)


async def test_refused_requests_leave_nothing():
    """Guards against a process that grows with each request it refuses."""
    async with _running() as running:
        data = (
            _head("/unknown") + b"Content-Length: 2000\r\n\r\n" + b"x" * 2_000
        )
        await crowds.send_repeatedly(
            running.address("address"), data, 60, 1_000
        )
        await _check_after(running)


OPERATORS = {
    "unknown token": _head("/validate", "unknown"),
    "known token": _head("/validate", fleets.ADMIN_TOKEN),
}


@pytest.mark.parametrize("head", OPERATORS.values(), ids=OPERATORS.keys())
async def test_crowd_at_the_operators_port_ends_no_process(head):
    """Guards against a bound that only the callers' listener has."""
    async with _running() as running:
        behave = crowds.states_length(head, 2**21, 2**21 - 1)
        async with crowds.crowd(running.address("admin_address"), behave, 40):
            await _check_after(running)
            url = f"{running.fleet.routers[0].admin_url}/healthz"
            async with running.fleet.session.get(url) as response:
                assert response.status == 200
        await _check_after(running)


async def test_crowd_leaves_descriptors_for_others():
    """Guards against a router that reaches neither store nor upstreams."""
    async with _running(max_descriptors=MACHINE_DESCRIPTORS) as running:
        behave = crowds.sends(MODEL)
        async with crowds.crowd(running.address("address"), behave, 400):
            await _check_after(running)
            pid = running.process.pid
            assert crowds.open_descriptors(pid) < MACHINE_DESCRIPTORS
        await _check_after(running)


SENDS_CHUNKS = crowds.sends_chunks(MODEL, 2**14, 1)
LEAVERS = {
    "closed": SENDS_CHUNKS,
    "reset": crowds.and_resets(SENDS_CHUNKS),
    "a long head": crowds.sends(MODEL + b"a:b\r\n" * 12_000),
}


@pytest.mark.parametrize("behave", LEAVERS.values(), ids=LEAVERS.keys())
async def test_clients_that_left_occupy_nothing(behave):
    """Guards against requests that are parsed on when nobody waits."""
    async with _running(memory_mb=LARGE_MACHINE_MB) as running:
        descriptors, share = await crowds.occupied_after_leaving(
            running.process.pid, running.address("address"), behave, LEAVING
        )
        assert descriptors < LEFT_DESCRIPTORS
        assert share < LEFT_SHARE
        assert await running.serves()


LARGEST = {
    "text": (MACHINE_MB, _largest_body()),
    "many values": (300, _body_of_many_values()),
}


@pytest.mark.parametrize(
    ("memory_mb", "body"), LARGEST.values(), ids=LARGEST.keys()
)
async def test_largest_body_is_served_in_calm(memory_mb, body):
    """Guards against a bound that a client inside the limits meets."""
    async with _running(memory_mb=memory_mb) as running:
        assert len(body) == MODEL_BODY_BYTES
        url = f"{running.fleet.routers[0].url}/v1/completions"
        async with running.fleet.session.post(
            url, data=body, headers=fleets.authorization()
        ) as response:
            await response.read()
            assert response.status == 200
        assert await running.serves()

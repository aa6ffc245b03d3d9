"""The platform's side of a soak run: its requests, answers and upstreams."""

import asyncio
from collections.abc import Callable
import os
import random
import re
import time

import attrs

from toucanrudder.http1 import message
from toucanrudder.platform import objects
from toucanrudder.platform.testing import standins
from toucanrudder.soak import records
from toucanrudder.testing import resets

ENGINES, PLAIN_SERVICE, MODEL = "engines", "desk", "m"
API_KEYS = {"north": "key-of-north", "south": "key-of-south"}

#: Organisation whose key each generation replaces.
GUEST = "guest"

#: Largest head in odd and in even generations, and one between both.
HEAD_LIMITS_BYTES = {1: 16_384, 0: 65_536}
LONG_HEAD_BYTES = 60_000

#: Organisation that shares no cache with others.
ISOLATED_ORGANISATION = "south"

#: Software versions of engines.
SOFTWARE_VERSIONS = ("v1", "v2")

#: Part at which each engine ends that begins an answer.
BAD_PART = "bad"

#: Time between two events of a stream, and of a long one, and time to load
#: weights.
EVENT_GAP_S = 0.03
LONG_EVENT_GAP_S = 0.1
LOAD_TIME_S = 0.2

#: Pieces of an answer without end: several times what a router may keep.
ENDLESS_PIECES = 1_024
ENDLESS_PIECE_BYTES = 65_536

#: Times from a part of an answer to the reset behind it.
RESET_DELAYS_S = (0.0, 0.001, 0.02)

#: Routes of long streams: time limit, and longest allowed gap.
_LONG_ROUTE = {"timeout_ms": 12_000, "target_gap_ms": 200, "max_attempts": 2}

_LONG_PATHS = {
    records.Kind.STREAM_ONCE: "/longonce/x",
    records.Kind.STREAM_RESUMABLE: "/longagain/x",
}

_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\s@]+)@(\S+)\n\n")

_PATHS = {
    records.Kind.STREAM_ONCE: "/once/x",
    records.Kind.STREAM_RESUMABLE: "/again/x",
    records.Kind.READ: "/read/x",
    records.Kind.WRITE: "/write/x",
    records.Kind.POISON: "/write/poison",
    records.Kind.POISON_PART: "/again/x",
    # Whatever reads it has accepted the head.
    records.Kind.HEAD_PROBE: "/unknown/x",
    records.Kind.KEY_PROBE: "/read/x",
}


def _route(path: str, kind: str, service: str, **options) -> dict:
    return {
        "name": path,
        "host": "soak.example",
        "path_prefix": path,
        "kind": kind,
        "service": service,
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "target_gap_ms": 300,
        "max_attempts": 3,
    } | options


def configuration(generation: int, cache_store: str) -> dict:
    """Return a configuration with one additional route per generation.

    The guest's key and the limit on heads change with each.
    """
    extra_routes = [
        _route(f"/g{number}/", "safe", PLAIN_SERVICE)
        for number in range(1, generation + 1)
    ]
    return {
        "version": generation,
        "routes": [
            _route("/once/", "stream", ENGINES),
            _route("/again/", "stream", ENGINES, resumable=True),
            _route("/longonce/", "stream", ENGINES, **_LONG_ROUTE),
            _route(
                "/longagain/",
                "stream",
                ENGINES,
                resumable=True,
                **_LONG_ROUTE,
            ),
            _route("/read/", "safe", PLAIN_SERVICE),
            _route("/write/", "unsafe", PLAIN_SERVICE),
            *extra_routes,
        ],
        "services": [
            {
                "name": ENGINES,
                "engine": {
                    "slots": 8,
                    "kv_capacity_tokens": 400_000,
                    "backups": True,
                },
            },
            {"name": PLAIN_SERVICE},
            {"name": "kept", "kv_store_addr": cache_store, "zone": "za"},
        ],
        "tenants": [
            {
                "name": name,
                "api_keys": [key],
                "isolated": name == ISOLATED_ORGANISATION,
            }
            for name, key in (
                *API_KEYS.items(),
                (GUEST, guest_key(generation)),
            )
        ],
        "limits": {"max_header_bytes": HEAD_LIMITS_BYTES[generation % 2]},
    }


def guest_key(generation: int) -> str:
    """Return the guest's key of one generation."""
    return f"key-of-{GUEST}-{generation}"


def may_be_long(generation: int) -> bool:
    """Whether a generation lets heads of `LONG_HEAD_BYTES` pass."""
    return HEAD_LIMITS_BYTES[generation % 2] > LONG_HEAD_BYTES


def crowd_head() -> bytes:
    """Return the begin of a head of clients that keep to no limit."""
    return (
        b"POST /read/crowd HTTP/1.1\r\nHost: soak.example\r\n"
        b"Request-Id: crowd\r\nDeadline-Ms: 3000\r\n"
    )


def build_request(
    call: records.Call, organisation: str, part: int
) -> tuple[message.RequestHead, bytes]:
    """Return head and body of a caller's request."""
    paths = _LONG_PATHS if call.is_long else _PATHS
    path = paths.get(call.kind, f"/g{call.generation}/x")
    if call.kind.is_stream:
        # Streams of one path and body would look like one poisonous request.
        path += call.stream_id or call.request_id
    headers = {
        "Host": "soak.example",
        "Request-Id": call.request_id,
        "Deadline-Ms": str(int(call.limit_s * 1000)),
        "Authorization": f"Bearer {API_KEYS[organisation]}",
    }
    if call.has_long_head:
        headers["Padding"] = "x" * LONG_HEAD_BYTES
    if call.kind is records.Kind.KEY_PROBE:
        key = guest_key(call.generation - 1)
        headers["Authorization"] = f"Bearer {key}"
    method, body = b"GET", b""
    if call.resumed_after:
        headers["Last-Event-Id"] = str(call.resumed_after)
        headers["Resumes"] = call.stream_id
    if call.kind.is_stream:
        headers |= {
            "Model": MODEL,
            "Token-Counts": f"600,{call.length}",
            "Prompt-Prefix": f"a:100,b{part}:300,{call.request_id}:200",
        }
    if call.kind is records.Kind.POISON_PART:
        headers["Prompt-Prefix"] = (
            f"a:100,b{part}:100,{BAD_PART}:200,{call.request_id}:200"
        )
    if call.kind in (records.Kind.WRITE, records.Kind.POISON):
        method = b"POST"
        is_poison = call.kind is records.Kind.POISON
        body = b"poison" if is_poison else call.request_id.encode()
        headers["Content-Length"] = str(len(body))
    header_fields = tuple(
        (name.encode(), text.encode()) for name, text in headers.items()
    )
    return message.RequestHead(method, path.encode(), header_fields), body


def record_answer(
    call: records.Call, head: message.AnswerHead, body: bytes
) -> None:
    """Record in a call what its answer contains."""
    call.status = head.status
    answered_id = head.get(b"request-id")
    call.is_own = answered_id in (None, call.request_id.encode())
    if head.status != 200:
        return
    if call.kind.is_stream:
        events = _EVENT.findall(body)
        call.events = [int(number) for number, *_ in events]
        call.software = {version.decode() for *_, version in events}
        # A resumed stream is a request of its own.
        texts = {text for _, text, _ in events}
    else:
        texts = {body} if call.is_whole else set()
    call.is_own &= texts <= {call.request_id.encode()}


def _cache_owner(run: standins.Run) -> str:
    tenant = run.headers["tenant"]
    return tenant if tenant == ISOLATED_ORGANISATION else ""


def _part_keys(run: standins.Run) -> list[tuple[str, str]]:
    salt = run.headers.get("cache-salt", "")
    parts = run.headers["prompt-prefix"].split(",")
    return [(salt, part.partition(":")[0]) for part in parts]


@attrs.frozen
class CachedPart:
    """A cached prompt part: its weights' version, and its isolated owner."""

    version: int
    owner: str


@attrs.define(eq=False)
class SharedState:
    """State that all stand-ins of one soak run share.

    Parameters
    ----------
    record : records.Record
        Record of the run.
    caches : dict
        Cached parts by address and key, of engines and of the cache store.
    copies : dict
        Weights that made each copy, by address of the holder and request ID.
    working : set
        Runs whose engines are at work on them, by instance and request ID.
    """

    record: records.Record
    caches: dict[str, dict[tuple[str, str], CachedPart]] = attrs.field(
        factory=dict
    )
    copies: dict[tuple[str, str], set[int]] = attrs.field(factory=dict)
    working: set[tuple[str, str]] = attrs.field(factory=set)


class Upstream(standins.Server):
    """An upstream that checks the requests that it gets.

    Parameters
    ----------
    shared : SharedState
        State shared with all other stand-ins.
    service : str
        `ENGINES` or `DESK`.
    """

    def __init__(self, shared: SharedState, service: str, zone: str):
        model = MODEL if service == ENGINES else ""
        super().__init__(service, model, zone)
        # Upstreams of concurrent soak runs may reuse each other's ports, so
        # their names must differ.
        self.incarnation += f"-{os.getpid():x}"
        self.shared = shared
        self.proxy_address = ""
        self.is_poisoned = asyncio.Event()
        self.default_behaviour = answers_normally
        self._running = 0
        self._goes = asyncio.Event()
        self._goes.set()
        self.path_delay_s = 0.0
        self.limit: records.StatedLimit | None = None
        self.says_it_leaves = False
        self.rest: records.AskedRest | None = None
        self.on_loaded: Callable[[], None] = lambda: None
        self._loading: asyncio.Task | None = None
        self.keeps_runs = False
        self._runs: set[asyncio.Task] = set()

    def entry(self) -> dict:
        """Return its registry entry, with its proxy's address."""
        return super().entry() | {"address": self.proxy_address}

    def _report(self) -> dict:
        return super()._report() | {"active": self._running}

    def answer_headers(self, run: standins.Run) -> tuple:
        """Return the headers of an answer, with what it states of itself."""
        headers = super().answer_headers(run)
        if self.says_it_leaves:
            headers = (*headers, (b"Server-Leaving", b"1"))
            self.shared.record.stated_leaving.append(self._sighting(run))
        if self.limit is None:
            return headers
        self.limit.from_s = min(self.limit.from_s, time.monotonic())
        rate = str(self.limit.rate_per_s).encode()
        return (*headers, (b"Server-Limit", rate))

    def stand_still(self) -> None:
        """Do nothing, as a stopped process, until `go_on`."""
        self._goes.clear()

    def go_on(self) -> None:
        """End the standstill."""
        self._goes.set()

    async def handle(self, request, answer) -> None:
        """Record the arrival of a request, then answer it."""
        await self._goes.wait()
        request_id = request.head.get(b"request-id")
        if request_id is not None:
            self.shared.record.arrivals.append(
                (time.monotonic(), self.service, request_id.decode())
            )
            if self.limit is not None:
                self.limit.arrivals_s.append(time.monotonic())
        await super().handle(request, answer)

    async def _order(self, order: dict, answer) -> None:
        if self.is_fenced(order):
            await answer.send_whole(412, standins.JSON, b"{}")
            return
        if self.busy or order["expected"] != len(self.orders):
            await answer.send_whole(409, standins.JSON, b"{}")
            return
        self.orders.append(order)
        self.busy = True
        # The load goes on though the router that ordered it disconnects.
        self._loading = asyncio.ensure_future(self._load(order))
        await answer.send_whole(202, standins.JSON, b"{}")

    async def _load(self, order: dict) -> None:
        while order["mode"] == "block" and self._running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(LOAD_TIME_S)
        self.shared.caches[self.proxy_address] = {}
        self.version, self.busy = order["version"], False
        self.on_loaded()

    def _sighting(self, run: standins.Run) -> records.Sighting:
        return records.Sighting(
            time.monotonic(), run.request_id, self.incarnation
        )

    async def _refuse_for_rest(self, run: standins.Run, answer) -> None:
        sighting = self._sighting(run)
        self.rest.arrivals.append(sighting)
        self.rest.refused.append(sighting)
        headers = (
            (b"Not-Executed", b"1"),
            (b"Request-Id", run.request_id.encode()),
            (b"Retry-After", str(self.rest.rest_s).encode()),
        )
        await answer.send_whole(503, headers, b"")

    async def _run(self, run: standins.Run, answer) -> None:
        if self.rest is not None:
            await self._refuse_for_rest(run, answer)
            return
        if self.busy:
            await standins.sheds(self, run, answer)
            return
        self._running += 1
        try:
            await super()._run(run, answer)
        finally:
            self._running -= 1

    def record_run(self, run: standins.Run) -> None:
        """Record that a request begins to run, and faults of its headers."""
        source_copy = _named_copy(run)
        made_by = self.shared.copies.pop(source_copy, None)
        self.shared.record.runs.append(
            records.Run(
                run.request_id,
                self.service,
                self.incarnation,
                time.monotonic(),
                made_by is not None,
                tuple(self._request_faults(run, made_by)),
            )
        )

    def _request_faults(self, run: standins.Run, made_by: set[int] | None):
        if "expect-instance" not in run.headers:
            yield "no instance is expected"
        if run.headers.get("tenant") not in (*API_KEYS, GUEST):
            yield "no organisation"
        if made_by is not None and made_by != {self.version}:
            yield "memory of other weights"
        if made_by is not None and self._is_at_work_elsewhere(run):
            yield "continued beside its engine"
        if self.model:
            yield from self._cache_faults(run)

    def _is_at_work_elsewhere(self, run: standins.Run) -> bool:
        return any(
            request_id == run.request_id and incarnation != self.incarnation
            for incarnation, request_id in self.shared.working
        )

    def _cache_faults(self, run: standins.Run):
        """Yield faults of the cached parts that the run would use."""
        own = self.shared.caches.get(self.proxy_address, {})
        source = self.shared.caches.get(run.headers.get("kv-fetch-from"), {})
        for key in _part_keys(run):
            part = own.get(key) or source.get(key)
            if part is None:
                return
            if part.version != self.version:
                yield "stale cache"
            if part.owner != _cache_owner(run):
                yield "cache of another organisation"

    def _store_parts(self, run: standins.Run) -> None:
        """Store the parts of a prompt that has just been prefilled."""
        part = CachedPart(self.version, _cache_owner(run))
        store_address = run.headers.get("kv-save-to", "nowhere")
        for address in (self.proxy_address, store_address):
            cache = self.shared.caches.setdefault(address, {})
            for key in _part_keys(run):
                # A part that is cached already is not replaced.
                cache.setdefault(key, part)

    def register_copy(self, run: standins.Run) -> None:
        """Record that the engine named by the run holds a copy of it."""
        copy = _copy_for(run)
        if copy[0]:
            self.shared.copies[copy] = {self.version}

    async def serve(self, run: standins.Run, answer) -> None:
        """Run a request without faults."""
        source_copy = _named_copy(run)
        if source_copy is not None and source_copy not in self.shared.copies:
            await standins.sheds(self, run, answer)
            return
        self.record_run(run)
        if run.body == b"poison":
            self.shared.record.crashes.append(time.monotonic())
            self.is_poisoned.set()
            await asyncio.Event().wait()
        if BAD_PART in run.headers.get("prompt-prefix", ""):
            self.shared.record.part_arrivals.append(time.monotonic())
            await asyncio.sleep(EVENT_GAP_S)
            self.is_poisoned.set()
            await asyncio.Event().wait()
        if not self.model:
            await asyncio.sleep(EVENT_GAP_S)
            await answer.send_whole(
                200, self.answer_headers(run), run.request_id.encode()
            )
            return
        self.register_copy(run)
        await asyncio.sleep(EVENT_GAP_S)
        self._store_parts(run)
        await self._stream(run, answer)

    async def _stream(self, run: standins.Run, answer) -> None:
        await answer.start(200, self.answer_headers(run))
        events: asyncio.Queue[_Event | None] = asyncio.Queue()
        making = asyncio.ensure_future(self._make_events(run, events))
        self._runs.add(making)
        making.add_done_callback(self._runs.discard)
        try:
            while (event := await events.get()) is not None:
                await asyncio.sleep(event.arrives_s - time.monotonic())
                await answer.write(event.text)
        finally:
            if not self.keeps_runs:
                making.cancel()
        await answer.end()

    def end_runs(self) -> None:
        """End all runs, as the end of a process does."""
        for making in self._runs:
            making.cancel()

    async def _make_events(self, run: standins.Run, events) -> None:
        """Make the events of a run; its report counts them at once."""
        first = int(run.headers.get("last-event-id", 0)) + 1
        length = int(run.headers["token-counts"].partition(",")[2])
        is_long = length > records.EVENTS
        gap_s = LONG_EVENT_GAP_S if is_long else EVENT_GAP_S
        work = (self.incarnation, run.request_id)
        self.shared.working.add(work)
        try:
            for number in range(first, length + 1):
                await asyncio.sleep(gap_s)
                await self._goes.wait()
                self.reported_runs[run.request_id] = number
                if _copy_for(run) in self.shared.copies:
                    self.shared.copies[_copy_for(run)].add(self.version)
                text = (
                    f"id: {number}\n"
                    f"data: {run.request_id}@{self.software_version}\n\n"
                )
                arrives_s = time.monotonic() + self.path_delay_s
                events.put_nowait(_Event(text.encode(), arrives_s))
        finally:
            self.reported_runs.pop(run.request_id, None)
            self.shared.working.discard(work)
        events.put_nowait(None)
        # A copy of a run is freed when the run has ended.
        self.shared.copies.pop(_copy_for(run), None)


@attrs.frozen
class _Event:
    """An event of a stream, and when it has passed the network path."""

    text: bytes
    arrives_s: float


def _copy_for(run: standins.Run) -> tuple[str, str]:
    """Return the copy of a run that its engine was asked to make."""
    return run.headers.get("kv-backup", ""), run.request_id


def _named_copy(run: standins.Run) -> tuple[str, str] | None:
    """Return the copy from which a request is to be continued, if any."""
    source = run.headers.get("kv-from")
    if source is None:
        return None
    address, _, identity = source.partition("/")
    return address, identity


async def answers_normally(
    upstream: Upstream, run: standins.Run, answer
) -> None:
    """Answer without faults."""
    await upstream.serve(run, answer)


def _record_run_then(behaviour):
    async def behave(upstream: Upstream, run: standins.Run, answer) -> None:
        upstream.record_run(run)
        await behaviour(upstream, run, answer)

    return behave


async def answers_without_status(upstream, run, answer) -> None:
    """Answer with three digits that are no status of HTTP."""
    await answer.send_whole(666, upstream.answer_headers(run), b"trouble")


async def breaks_off(upstream, run, answer) -> None:
    """Send a part of an answer without a length, then reset."""
    upstream.record_run(run)
    connection = answer._connection
    # Also if the upstream's process ends meanwhile.
    resets.reset_on_close(connection._transport.get_extra_info("socket"))
    fields = b"".join(
        b"%s: %s\r\n" % field for field in upstream.answer_headers(run)
    )
    part = run.request_id.encode()[:-1]
    connection._transport.write(
        b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n" + part
    )
    # The reset may come with what was written, or find it read.
    await asyncio.sleep(random.Random(run.request_id).choice(RESET_DELAYS_S))
    answer.abort()
    answer.ended = True


async def answers_without_end(upstream, run, answer) -> None:
    """Send a body until its reader closes, or far more than it may keep."""
    upstream.record_run(run)
    await answer.start(200, upstream.answer_headers(run))
    for _ in range(ENDLESS_PIECES):
        await answer.write(bytes(ENDLESS_PIECE_BYTES))
    answer.abort()
    answer.ended = True


#: What an upstream in trouble does with some of its answers.
BROKEN_ANSWERS = (breaks_off, answers_without_end)

#: What a faulty upstream does with some of its requests.
FAULTY_BEHAVIOURS = (
    standins.sheds,
    _record_run_then(standins.resets),
    _record_run_then(standins.answers_500),
    _record_run_then(standins.answers_other_request),
    _record_run_then(standins.answers_unsealed),
    _record_run_then(standins.hangs),
    _record_run_then(answers_without_status),
)

WEIGHTS_KIND = objects.WEIGHTS_KIND
UPSTREAM_KIND = objects.UPSTREAM_KIND
DOCUMENT_KIND = objects.CONFIGURATION_KIND
DOCUMENT_NAME = objects.CONFIGURATION_NAME


def weights_spec(version: int) -> dict:
    """Return the content of the object with the target weights version."""
    return {"model": MODEL, "version": version}

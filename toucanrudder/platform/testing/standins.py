"""Stand-ins for the platform's store, engines and services, for tests.

They implement the platform's documented protocol on loopback, and produce
faults on request.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import re
import socket
import time
from typing import ClassVar
import urllib.parse
import weakref

import attrs
import orjson

from toucanrudder.http1 import server
from toucanrudder.testing import servers

#: Time from the start of a run until its first copy is sent.
COPY_AFTER_S = 0.4

#: Time by which events reach the router before a report does.
CATCH_UP_S = 0.1

#: Silence in which the router requests a report.
SILENCE_BEFORE_CLOSE_S = 0.9

#: Silence after which the router may consider an answer lost.
SILENCE_S = 1.0

#: Time for which an engine continues a run after its connection closed.
RUN_STOP_DELAY_S = 0.6

JSON = ((b"Content-Type", b"application/json"),)


class _StandIn:
    """HTTP server on loopback with one handler."""

    def __init__(self):
        self.listener = server.Listener(
            server.Hooks(
                handle=self.handle,
                limits=lambda: server.Limits(idle_timeout_s=30.0),
                closing=lambda: False,
                refusal_body=lambda refusal: b"",
                refused=lambda refusal: None,
                clock=time.monotonic,
            )
        )

    @property
    def address(self) -> str:
        """``IP:port``."""
        return self.listener.address

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["_StandIn"]:
        """Serve during the block."""
        await self.listener.start("127.0.0.1", 0)
        try:
            yield self
        finally:
            await self.listener.stop()

    async def handle(self, request, answer) -> None:
        """Answer one request."""
        raise NotImplementedError


@attrs.frozen
class Backup:
    """Contents of a store at one revision."""

    revision: int
    objects: dict[tuple[str, str], dict]


class Store(_StandIn):
    """The metadata store.

    Attributes
    ----------
    read_calls : list of tuple
        Kind and query of each read call.
    mode : str
        ``well``, ``busy`` (503 without effect), ``silent`` (no answer) or
        ``lost`` (writes take effect without an answer).
    lost_watches : set of str
        Kinds whose watches get nothing further once they have an answer.
    """

    def __init__(self):
        super().__init__()
        self.mode = "well"
        self.revision = 7
        self.era = 1
        self.oldest_revision = 0
        self.calls = 0
        self.read_calls: list[tuple[str, dict]] = []
        self.lost_watches: set[str] = set()
        self._objects: dict[tuple[str, str], dict] = {}
        self._log: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: dict) -> int:
        """Write an object without a call, as the platform does."""
        self.revision += 1
        item = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": None,
        }
        self._objects[kind, name] = item
        self._record_change(kind, item, False)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        item = self._objects.pop((kind, name))
        self._record_change(kind, item, True)

    def get(self, kind: str, name: str) -> dict | None:
        """Return an object's content."""
        item = self._objects.get((kind, name))
        return item["spec"] if item else None

    def set_mode(self, mode: str) -> None:
        """Change the mode and wake all watches."""
        self.mode = mode
        self._wake_watches()

    def forget_history(self) -> None:
        """Discard the history, so that watches from before now fail."""
        self.oldest_revision = self.revision + 1
        self._wake_watches()

    def back_up(self) -> Backup:
        """Return the current contents."""
        return Backup(self.revision, dict(self._objects))

    def restore(self, backup: Backup) -> None:
        """Restore a backup; later revision numbers are issued again."""
        self.era += 1
        self.revision = backup.revision
        self._objects = dict(backup.objects)
        self._log = [
            entry for entry in self._log if entry[0] <= backup.revision
        ]
        self._wake_watches()

    def _record_change(self, kind: str, item: dict, deleted: bool) -> None:
        self._log.append((self.revision, kind, item, deleted))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request, answer) -> None:
        """Answer one call."""
        self.calls += 1
        if self.mode == "silent":
            await asyncio.Event().wait()
        if self.mode == "busy":
            await answer.send_whole(503, self._headers(), b"{}")
            return
        target = urllib.parse.urlsplit(request.head.target.decode())
        query = dict(urllib.parse.parse_qsl(target.query))
        _, _, kind, *rest = target.path.split("/")
        name = rest[0] if rest else None
        if request.head.method == b"GET":
            self.read_calls.append((kind, query))
            status, body = await self._read(kind, name, query)
        else:
            content = orjson.loads(request.body or b"{}")
            status, body = self._write(
                request.head.method, kind, name, content
            )
            if self.mode == "lost":
                answer.abort()
                answer.ended = True
                return
        await answer.send_whole(status, self._headers(), orjson.dumps(body))

    def _headers(self) -> tuple[tuple[bytes, bytes], ...]:
        return (*JSON, (b"Store-Era", str(self.era).encode()))

    async def _read(self, kind, name, query) -> tuple[int, dict]:
        if name is not None:
            item = self._objects.get((kind, name))
            return (200, item) if item else (404, {})
        if "watch" in query:
            return await self._watch(kind, query)
        items = [
            item
            for (of_kind, _), item in sorted(self._objects.items())
            if of_kind == kind
            and item["metadata"]["name"] > query.get("after", "")
        ]
        page = items[:2]
        return 200, {
            "items": page,
            "more": len(items) > len(page),
            "current_rev": self.revision,
        }

    async def _watch(self, kind, query) -> tuple[int, dict]:
        since = int(query["watch"])
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if since < self.oldest_revision or since > self.revision:
                return 410, {}
            events = [
                {"object": item, "deleted": deleted}
                for revision, of_kind, item, deleted in self._log
                if of_kind == kind and revision > since
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0 or self.mode != "well":
                if kind in self.lost_watches:
                    await asyncio.Event().wait()
                return 200, {"events": events, "current_rev": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    def _write(self, method, kind, name, body) -> tuple[int, dict]:
        name = name or body["metadata"]["name"]
        item = self._objects.get((kind, name))
        if method == b"POST":
            if item is not None:
                return 409, item
        elif item is None:
            return 404, {}
        elif body["metadata"]["revision"] != item["metadata"]["revision"]:
            return 409, item
        self.put(kind, name, body["spec"])
        return 200, self._objects[kind, name]


@attrs.frozen
class Run:
    """A request that an upstream runs."""

    request_id: str
    headers: dict[str, str]
    target: bytes
    body: bytes


Behaviour = Callable[["Server", "Run", server.Answer], Awaitable[None]]
ReportBehaviour = Callable[["Server", server.Answer], Awaitable[None]]


class Server(_StandIn):
    """An upstream: an engine if it has a model, else a plain service.

    Attributes
    ----------
    behaviours : list
        Behaviours for the next requests, one each.
    default_behaviour : callable
        Behaviour for all other requests.
    reported_runs : dict of str to int
        Requests that its report lists as running, with the number of
        events produced.
    queued : int
        Requests that its report counts as waiting.
    copies : set of str
        Requests of which it holds a copy of another engine's run.
    born : int
        Start time that it reports; 0 for none.
    software_version : str
        Version of its software, as in its registry entry.
    reset_runs : asyncio.Event
        Ends the runs that wait for it.
    before_report : list
        Behaviours for the next requests for its report, run before the
        report is sent.
    """

    _instance_numbers = itertools.count(1)
    _by_address: ClassVar[weakref.WeakValueDictionary] = (
        weakref.WeakValueDictionary()
    )

    def __init__(self, service: str, model: str = "", zone: str = "za"):
        super().__init__()
        self.incarnation = f"i-{next(self._instance_numbers):08x}"
        self.born = 0
        self.service = service
        self.zone = zone
        self.model = model
        self.version = 1
        self.software_version = "v1"
        self.state = "ready"
        self.orders: list[dict] = []
        self.busy = False
        self.behaviours: list[Behaviour] = []
        self.runs: list[Run] = []
        self.run_cancelled = asyncio.Event()
        self.default_behaviour: Behaviour = answers_normally
        self.reported_runs: dict[str, int] = {}
        self.queued = 0
        self.copies: set[str] = set()
        self.report_requested = asyncio.Event()
        self.reset_runs = asyncio.Event()
        self.before_report: list[ReportBehaviour] = []

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["Server"]:
        """Serve during the block."""
        async with super().running():
            self._by_address[self.address] = self
            yield self

    def send_copy(self, run: "Run") -> None:
        """Send a copy of the run to the engine that its headers name."""
        holder = self._by_address.get(run.headers.get("kv-backup"))
        if holder is not None:
            holder.copies.add(run.request_id)

    def entry(self) -> dict:
        """Return its registry entry."""
        models = [{"name": self.model, "version": self.version}]
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.software_version,
            "slots": 8,
            "state": self.state,
            "models": models if self.model else [],
            "seq": 1,
            **self._born_field(),
        }

    def _born_field(self) -> dict:
        return {"born": self.born} if self.born else {}

    def crash(self) -> None:
        """Refuse new connections and reset all others."""
        self.listener._server.close()
        for connection in list(self.listener.connections):
            connection.abort()

    def restart(self) -> None:
        """Simulate a restart: same name, later start time, no state."""
        self.born = self.born + 1_000 if self.born else 1_700_000_000_000
        self.orders.clear()
        self.reported_runs.clear()
        self.copies.clear()
        self.state, self.busy = "ready", False

    async def handle(self, request, answer) -> None:
        """Answer one request of a router."""
        headers = {
            name.decode().lower(): value.decode()
            for name, value in request.head.headers
        }
        expected = headers.get("expect-instance", self.incarnation)
        version = headers.get("expect-version", str(self.version))
        path = request.head.target.split(b"?")[0]
        if path == b"/kv-events":
            await self._events(answer)
        elif expected != self.incarnation or version != str(self.version):
            mismatch_headers = [(b"Instance-Id", self.incarnation.encode())]
            if "request-id" in headers:
                mismatch_headers.append(
                    (b"Request-Id", headers["request-id"].encode())
                )
            await answer.send_whole(421, tuple(mismatch_headers), b"")
        elif path == b"/report":
            if self.before_report:
                await self.before_report.pop(0)(self, answer)
            if answer.ended:
                return
            self.report_requested.set()
            await answer.send_whole(200, JSON, orjson.dumps(self._report()))
        elif path == b"/order":
            await self._order(orjson.loads(request.body), answer)
        else:
            run = Run(
                headers["request-id"],
                headers,
                request.head.target,
                request.body,
            )
            await self._run(run, answer)

    async def _events(self, answer) -> None:
        await asyncio.sleep(0.5)
        body = {
            "boot_epoch": self.born,
            "next": 0,
            "lost": False,
            "events": [],
            **self._born_field(),
        }
        await answer.send_whole(200, JSON, orjson.dumps(body))

    def _report(self) -> dict:
        return {
            "models": [{"name": self.model, "version": self.version}],
            "busy": self.busy,
            "seq": len(self.orders),
            **self._born_field(),
            "queued": self.queued,
            "active": len(self.reported_runs),
            "runs": [
                [identity, 300, events, 5]
                for identity, events in self.reported_runs.items()
            ],
        }

    def is_fenced(self, order: dict) -> bool:
        """Return whether a higher fencing number has been seen."""
        return any(order["fence"] < past["fence"] for past in self.orders)

    async def _order(self, order: dict, answer) -> None:
        if self.is_fenced(order):
            await answer.send_whole(412, JSON, b"{}")
            return
        self.orders.append(order)
        self.version = order["version"]
        await answer.send_whole(202, JSON, b"{}")

    async def _run(self, run: Run, answer) -> None:
        behaviour = (
            self.behaviours.pop(0)
            if self.behaviours
            else self.default_behaviour
        )
        try:
            await behaviour(self, run, answer)
        except asyncio.CancelledError:
            self.run_cancelled.set()
            raise

    def answer_headers(self, run: Run) -> tuple:
        """Return the headers of a genuine answer to the run."""
        return (
            (b"Request-Id", run.request_id.encode()),
            (b"Server-Seal", self.incarnation.encode()),
            (b"Server-Load", b"1,0,8"),
        )


@attrs.frozen
class RawRequest:
    """A request that a `RawServer` received.

    Parameters
    ----------
    request_id : str
        Its ID.
    before : tuple of str
        IDs of the earlier requests on its connection.
    """

    request_id: str
    before: tuple[str, ...]


class RawServer(Server):
    """A service that answers with bytes that a test provides.

    Parameters
    ----------
    service : str
        Name of the service.
    answer : callable
        Called with this server and each `RawRequest`; returns the bytes of
        the answer.

    Attributes
    ----------
    executed : list of str
        IDs of the requests that `answer` recorded as run.
    connections : list of socket.socket
        All accepted connections, for tests that send bytes on their own.
    """

    def __init__(
        self,
        service: str,
        answer: Callable[["RawServer", RawRequest], bytes],
    ):
        super().__init__(service)
        self.executed: list[str] = []
        self.connections: list[socket.socket] = []
        self._answer = answer
        self._address = ""

    @property
    def address(self) -> str:
        """``IP:port``."""
        return self._address

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["RawServer"]:
        """Serve during the block."""
        async with servers.running(self._serve) as self._address:
            yield self

    async def _serve(self, reader, writer) -> None:
        self.connections.append(writer.get_extra_info("socket"))
        before: tuple[str, ...] = ()
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                match = re.search(rb"(?im)^request-id: *(\S+)", head)
                request = RawRequest(match[1].decode(), before)
                before = (*before, request.request_id)
                writer.write(self._answer(self, request))
                await writer.drain()
        writer.close()


def raw_answer(status: int, *headers: str, body: str = "") -> bytes:
    """Return a complete answer as bytes."""
    lines = [
        f"HTTP/1.1 {status} Said",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join([*lines, "", body]).encode()


async def answers_normally(upstream: Server, run: Run, answer) -> None:
    """Answer with the request's body, or with three events if an engine.

    A request to continue a copy that the engine does not hold is refused.
    """
    if "kv-from" in run.headers and run.request_id not in upstream.copies:
        await sheds(upstream, run, answer)
        return
    upstream.runs.append(run)
    if not upstream.model:
        await answer.send_whole(
            200, upstream.answer_headers(run), run.body or b"done"
        )
        return
    await answer.start(200, upstream.answer_headers(run))
    first = int(run.headers.get("last-event-id", 0)) + 1
    for number in range(first, 4):
        await answer.write(event(number))
    await answer.end()


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: token {number}\n\n".encode()


#: An event without an ID, after which a stream cannot be resumed.
EVENT_WITHOUT_ID = b"data: token\n\n"


async def sheds(upstream: Server, run: Run, answer) -> None:
    """Refuse the request with proof that it has not run."""
    headers = (
        (b"Not-Executed", b"1"),
        (b"Request-Id", run.request_id.encode()),
    )
    await answer.send_whole(503, headers, b"")


async def answers_as_other_instance(
    upstream: Server, run: Run, answer
) -> None:
    """Answer that another instance has the address."""
    await answer.send_whole(421, (), b"")


async def has_other_weights(upstream: Server, run: Run, answer) -> None:
    """Answer that the expected weights are not loaded."""
    headers = ((b"Instance-Id", upstream.incarnation.encode()),)
    await answer.send_whole(421, headers, b"")


async def resets(upstream: Server, run: Run, answer) -> None:
    """Run the request and reset the connection without an answer."""
    upstream.runs.append(run)
    answer.abort()
    answer.ended = True


async def answers_500(upstream: Server, run: Run, answer) -> None:
    """Run the request and answer with a genuine status 500."""
    upstream.runs.append(run)
    await answer.send_whole(500, upstream.answer_headers(run), b"failed")


async def claims_not_run(upstream: Server, run: Run, answer) -> None:
    """Run the request and answer 429 without Not-Executed."""
    upstream.runs.append(run)
    await answer.send_whole(429, upstream.answer_headers(run), b"too many")


async def hangs(upstream: Server, run: Run, answer) -> None:
    """Run the request and never answer."""
    upstream.runs.append(run)
    await asyncio.Event().wait()


async def answers_other_request(upstream: Server, run: Run, answer) -> None:
    """Run the request, but send another request's answer and newer weights."""
    upstream.runs.append(run)
    headers = (
        (b"Request-Id", b"another"),
        (b"Server-Seal", b"s"),
        (b"Weight-Versions", b"9"),
    )
    await answer.send_whole(200, headers, b"not yours")


async def answers_unsealed(upstream: Server, run: Run, answer) -> None:
    """Run the request and answer without Server-Seal."""
    upstream.runs.append(run)
    headers = ((b"Request-Id", run.request_id.encode()),)
    await answer.send_whole(200, headers, b"rubbish")


async def breaks_mid_event(upstream: Server, run: Run, answer) -> None:
    """Reset the connection in the middle of the second event."""
    upstream.runs.append(run)
    await answer.start(200, upstream.answer_headers(run))
    await answer.write(event(1))
    await answer.write(event(2)[:9])
    answer.abort()
    answer.ended = True


async def breaks_after_copy(upstream: Server, run: Run, answer) -> None:
    """Reset in the middle of the second event, after a copy was sent."""
    upstream.runs.append(run)
    await answer.start(200, upstream.answer_headers(run))
    await answer.write(event(1))
    await asyncio.sleep(COPY_AFTER_S)
    upstream.send_copy(run)
    await answer.write(event(2)[:9])
    answer.abort()
    answer.ended = True


async def hangs_until_reset(upstream: Server, run: Run, answer) -> None:
    """Send the first event and a copy, then reset on `reset_runs`."""
    upstream.runs.append(run)
    await answer.start(200, upstream.answer_headers(run))
    await answer.write(event(1))
    upstream.send_copy(run)
    upstream.reported_runs[run.request_id] = 1
    await upstream.reset_runs.wait()
    del upstream.reported_runs[run.request_id]
    answer.abort()
    answer.ended = True


async def begins_with_copy(upstream: Server, run: Run, answer) -> None:
    """Send the first event and a copy."""
    upstream.runs.append(run)
    await answer.start(200, upstream.answer_headers(run))
    await answer.write(event(1))
    await asyncio.sleep(COPY_AFTER_S)
    upstream.send_copy(run)


async def resets_and_works_on(upstream: Server, run: Run, answer) -> None:
    """Lose the answer by a reset; end the run some time after."""
    await begins_with_copy(upstream, run, answer)
    upstream.reported_runs[run.request_id] = 1
    asyncio.get_running_loop().call_later(
        RUN_STOP_DELAY_S, upstream.reported_runs.pop, run.request_id
    )
    answer.abort()
    answer.ended = True


async def resets_and_never_ends(upstream: Server, run: Run, answer) -> None:
    """Lose the answer by a reset; list the run from then on."""
    await begins_with_copy(upstream, run, answer)
    upstream.reported_runs[run.request_id] = 1
    answer.abort()
    answer.ended = True


async def resets_with_a_queue(upstream: Server, run: Run, answer) -> None:
    """Lose the answer by a reset; list no run, but a queue."""
    await begins_with_copy(upstream, run, answer)
    upstream.queued = 1
    answer.abort()
    answer.ended = True


async def resets_without_reports(upstream: Server, run: Run, answer) -> None:
    """Lose the answer by a reset; reset all report calls as well."""
    await begins_with_copy(upstream, run, answer)
    upstream.before_report = [resets_report_call] * 99
    answer.abort()
    answer.ended = True


async def crashes(upstream: Server, run: Run, answer) -> None:
    """Send the first event and a copy, then end the process."""
    await begins_with_copy(upstream, run, answer)
    upstream.crash()
    await asyncio.Event().wait()


async def restarts(upstream: Server, run: Run, answer) -> None:
    """Send the first event and a copy, then start anew at the address."""
    await begins_with_copy(upstream, run, answer)
    upstream.incarnation += "-next"
    upstream.reported_runs[run.request_id] = 1
    answer.abort()
    answer.ended = True


async def closes_after_silence(upstream: Server, run: Run, answer) -> None:
    """Send the first event and a copy, then reset after a silence."""
    upstream.runs.append(run)
    await answer.start(200, upstream.answer_headers(run))
    await answer.write(event(1))
    upstream.send_copy(run)
    await asyncio.sleep(SILENCE_BEFORE_CLOSE_S)
    answer.abort()
    answer.ended = True


async def hangs_after_copy(upstream: Server, run: Run, answer) -> None:
    """Send the first event and a copy, then nothing more."""
    upstream.runs.append(run)
    await answer.start(200, upstream.answer_headers(run))
    await answer.write(event(1))
    upstream.send_copy(run)
    await asyncio.Event().wait()


async def stops_run_late(upstream: Server, run: Run, answer) -> None:
    """Lose events after the first; end the run some time after the close."""
    upstream.runs.append(run)
    await answer.start(200, upstream.answer_headers(run))
    await answer.write(event(1))
    upstream.send_copy(run)
    upstream.reported_runs[run.request_id] = 9
    try:
        await asyncio.Event().wait()
    finally:
        asyncio.get_running_loop().call_later(
            RUN_STOP_DELAY_S, upstream.reported_runs.pop, run.request_id
        )


async def never_stops_run(upstream: Server, run: Run, answer) -> None:
    """Lose events after the first; list the run even after the close."""
    upstream.runs.append(run)
    await answer.start(200, upstream.answer_headers(run))
    await answer.write(event(1))
    upstream.send_copy(run)
    upstream.reported_runs[run.request_id] = 9
    await asyncio.Event().wait()


async def starts_late(upstream: Server, run: Run, answer) -> None:
    """Answer after a silence in which no report lists the run."""
    await asyncio.sleep(SILENCE_S)
    await answers_normally(upstream, run, answer)


async def delays_first_events(upstream: Server, run: Run, answer) -> None:
    """Answer after a silence in which a report already counts events."""
    upstream.reported_runs[run.request_id] = 3
    await asyncio.sleep(SILENCE_S)
    del upstream.reported_runs[run.request_id]
    await answers_normally(upstream, run, answer)


async def pauses_without_ids(upstream: Server, run: Run, answer) -> None:
    """Pause between events without IDs, while no report lists the run."""
    upstream.runs.append(run)
    await answer.start(200, upstream.answer_headers(run))
    await answer.write(EVENT_WITHOUT_ID)
    upstream.send_copy(run)
    await asyncio.sleep(SILENCE_S)
    await answer.write(EVENT_WITHOUT_ID)
    await answer.end()


async def stalls_until_report(upstream: Server, run: Run, answer) -> None:
    """Send the first event, and the rest once a report was requested."""
    upstream.runs.append(run)
    await answer.start(200, upstream.answer_headers(run))
    await answer.write(event(1))
    upstream.reported_runs[run.request_id] = 1
    await upstream.report_requested.wait()
    for number in (2, 3):
        await answer.write(event(number))
    del upstream.reported_runs[run.request_id]
    await answer.end()


def sends_before_report(content: bytes) -> ReportBehaviour:
    """Return a behaviour that sends bytes ahead of the report's answer."""

    async def send(upstream: Server, answer) -> None:
        answer._connection._transport.write(content)

    return send


async def resets_report_call(upstream: Server, answer) -> None:
    """Reset the report call's connection, as an overloaded engine does."""
    answer.abort()
    answer.ended = True


async def ignores_report_call(upstream: Server, answer) -> None:
    """Never answer the request for the report."""
    await asyncio.Event().wait()


async def streams_before_report(upstream: Server, answer) -> None:
    """Let a run produce events between a report call and its answer."""
    upstream.report_requested.set()
    await asyncio.sleep(CATCH_UP_S)


async def stalls_then_catches_up(upstream: Server, run: Run, answer) -> None:
    """Send the first event, and two at once after a report request."""
    upstream.runs.append(run)
    await answer.start(200, upstream.answer_headers(run))
    await answer.write(event(1))
    await upstream.report_requested.wait()
    await answer.write(event(2) + event(3))
    upstream.reported_runs[run.request_id] = 3
    await asyncio.sleep(2 * CATCH_UP_S)
    del upstream.reported_runs[run.request_id]
    await answer.end()

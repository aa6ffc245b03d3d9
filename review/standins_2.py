"""Stand-ins for the platform, engines and callers; router processes.

Standard library only.  Each part does what the users' pages say of it, and
the faults that a case asks for by name.
"""

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]

#: Bounds of the small site `celbouw-rudder`.
BOUNDS = {
    "retry_budget_ratio": 0.2,
    "budget_slack": 56,
    "budget_window_s": 10,
    "version_ms": 8000,
    "lease_ms": 3000,
    "grace_s": 8,
}
LIMITS = {"memory_mb": 300, "max_fds": 4100}

START_WITHIN_S = 30.0
HEARTBEAT_S = 1.2

#: Longest time that a case may take, and pause between two copies of a run's
#: memory.
CASE_S = 115.0
COPY_INTERVAL_S = 0.2

_RESET = struct.pack("ii", 1, 0)


class CannotRun(Exception):
    """The case could not be brought about."""


def format_address(sock):
    """Return the ``IP:port`` of a bound socket."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


def free_address():
    """Return a free loopback address.

    Its port lies below those that the kernel gives to outgoing connections,
    which could take it before the process that is to listen there.
    """
    while True:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", random.randrange(12_000, 32_000)))
            return format_address(sock)


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._path.write_text("", encoding="utf-8")
        self._began_s = time.monotonic()
        self._lock = threading.Lock()

    def __call__(self, text):
        """Write one line."""
        with self._lock:
            after_s = time.monotonic() - self._began_s
            with self._path.open("a", encoding="utf-8") as file:
                file.write(f"{after_s:9.3f}  {text}\n")


# HTTP.


class Head:
    """Request line and header fields of a request."""

    def __init__(self, method, target, headers):
        self.method, self.target, self.headers = method, target, headers

    def get(self, name, default=None):
        """Return a header field."""
        return self.headers.get(name, default)


async def read_request(reader):
    """Return the next request's head and body; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
        first, *lines = raw.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ", 2)
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
            if name
        }
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Head(method, target, headers), body


def answer_bytes(status, headers=(), body=b""):
    """Return a complete answer."""
    lines = [f"HTTP/1.1 {status} Said", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


# The platform's store.


class Store:
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self, record):
        self._record = record
        self.address = ""
        self.revision = 100
        self._objects = {}
        self._log = collections.deque(maxlen=5000)
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=4_194_304
        )
        self.address = format_address(self._server.sockets[0])

    def put(self, kind, name, spec):
        """Write an object, as the operator or a server does."""
        self.revision += 1
        known = self._objects.get((kind, name))
        created = known["metadata"]["created_rev"] if known else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[kind, name] = item
        self._note(kind, item, False)
        return item

    def get(self, kind, name):
        """Return the content of an object, or None."""
        item = self._objects.get((kind, name))
        return item and item["spec"]

    def remove(self, kind, name):
        """Remove an object, if it is there."""
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._note(kind, item, True)

    def _note(self, kind, item, deleted):
        self._log.append((self.revision, kind, item, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                head, body = request
                status, value = await self._answer(head, body)
                content = json.dumps(value).encode()
                fields = [("Content-Type", "application/json")]
                writer.write(answer_bytes(status, fields, content))
                await writer.drain()
        writer.close()

    async def _answer(self, head, body):
        await asyncio.sleep(0.004)
        url = urllib.parse.urlsplit(head.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        _, _, kind, *rest = url.path.split("/")
        name = urllib.parse.unquote(rest[0]) if rest else None
        if head.method == "GET":
            return await self._read(kind, name, query)
        return self._write(head.method, kind, name, query, body)

    async def _read(self, kind, name, query):
        if name is not None:
            item = self._objects.get((kind, name))
            return (200, item) if item else (404, {})
        if "watch" in query:
            return await self._watch(kind, query)
        after = query.get("after", "")
        items = [
            item
            for (of_kind, of_name), item in sorted(self._objects.items())
            if of_kind == kind and of_name > after
        ]
        page = {
            "items": items[:500],
            "more": len(items) > 500,
            "current_rev": self.revision,
        }
        return 200, page

    async def _watch(self, kind, query):
        since = int(query["watch"])
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if self._log and since < self._log[0][0] - 1:
                return 410, {}
            events = [
                {"object": item, "deleted": deleted}
                for revision, of_kind, item, deleted in self._log
                if revision > since and of_kind == kind
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                news = {"events": events, "current_rev": self.revision}
                return 200, news
            changed = self._changed
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _write(self, method, kind, name, query, body):
        value = json.loads(body) if body else {}
        metadata = value.get("metadata", {})
        if method == "POST":
            name = metadata["name"]
            if (kind, name) in self._objects:
                return 409, self._objects[kind, name]
            item = self.put(kind, name, value.get("spec"))
            self._record(f"store: created {kind}/{name}")
            return 200, item
        known = self._objects.get((kind, name))
        if known is None:
            return 404, {}
        expected = metadata.get("revision", query.get("revision"))
        if expected is not None and (
            int(expected) != known["metadata"]["revision"]
        ):
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        return 200, self.put(kind, name, value.get("spec"))


# Engines.


class Run:
    """A run of a request at an engine."""

    def __init__(self, request_id, first, last):
        self.request_id = request_id
        self.next, self.last = first, last
        self.is_at_work = True
        #: Versions of the weights with which its memory was made.
        self.made_with = set()
        self.backup = ""
        self.copied_s = 0.0
        self.task = None
        #: Event after which its answer is lost; None for never.
        self.loses_after = None


class Engine:
    """A language-model worker on loopback, with a registry entry.

    Parameters
    ----------
    name : str
        Its id.
    service, model : str
        What it serves.
    event_s : float
        Time between two events of a stream.
    max_conns : int
        Connections that it accepts from all callers together; it resets
        those beyond at once.
    queued_conns : int or None
        The same while its queue is long; None for no difference.
    """

    #: Engines by address: where copies of memory go.
    by_address = {}

    def __init__(
        self,
        store,
        record,
        name,
        *,
        service="engines",
        model="m0",
        zone="za",
        version=1,
        event_s=0.08,
        events=224,
        max_conns=370,
        queued_conns=None,
        load_s=0.4,
        report_lag_s=0.1,
    ):
        self._store, self._record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.model, self.version = model, version
        self.event_s, self.events = event_s, events
        self.max_conns, self.load_s = max_conns, load_s
        self.queued_conns = queued_conns or max_conns
        #: Requests of other callers that wait in its queue.
        self.queued = 0
        self.report_lag_s = report_lag_s
        self.address = ""
        self.runs = {}
        self.copies = {}
        self.orders = []
        self.highest_fence = 0
        self.is_busy = False
        self._seq = 0
        self._writers = set()
        self._open = 0
        self._lock = threading.Lock()
        self._tasks = set()
        self._reports = collections.deque()
        self._loop = None
        self._listening = None

    # Life.

    async def start(self):
        """Listen, register and send heartbeats."""
        self._loop = asyncio.get_running_loop()
        self._listening = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = format_address(self._listening)
        Engine.by_address[self.address] = self
        threading.Thread(target=self._accept, daemon=True).start()
        self._spawn(self._beat())
        self._spawn(self._sample())

    def crash(self):
        """End as a process that is killed: all connections break."""
        self._record(f"{self.name}: crashes")
        self._listening.shutdown(socket.SHUT_RDWR)
        self._listening.close()
        Engine.by_address.pop(self.address, None)
        for run in self.runs.values():
            run.is_at_work = False
        for writer in list(self._writers):
            reset(writer)
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def entry(self):
        """Return its registry entry."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "unified",
            "models": [
                {"name": self.model, "version": self.version, "adapters": []}
            ],
            "seq": self._seq,
        }

    async def _beat(self):
        while True:
            self._seq += 1
            self._store.put("servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def _sample(self):
        """Keep the reports of the last moments, to answer late ones."""
        while True:
            now_s = time.monotonic()
            self._reports.append((now_s, self._report_now()))
            while len(self._reports) > 1 and (
                self._reports[1][0] <= now_s - self.report_lag_s
            ):
                self._reports.popleft()
            await asyncio.sleep(0.02)

    # Connections.

    def _accept(self):
        """Accept connections; reset those beyond the limit at once."""
        while True:
            try:
                sock, _ = self._listening.accept()
            except OSError:
                return
            with self._lock:
                limit = self.queued_conns if self.queued else self.max_conns
                is_full = self._open >= limit
                self._open += not is_full
            if is_full:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                sock.close()
                continue
            self._loop.call_soon_threadsafe(self._adopt, sock)

    def _adopt(self, sock):
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._spawn(self._serve(sock))

    async def _serve(self, sock):
        reader, writer = await asyncio.open_connection(sock=sock)
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._handle(*request, reader, writer):
                    break
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
            with self._lock:
                self._open -= 1

    # Calls.

    async def _handle(self, head, body, reader, writer):
        """Answer one call; return whether the connection stays open."""
        path = head.target.partition("?")[0]
        request_id = head.get("request-id")
        fields = [("Request-Id", request_id)] if request_id else []
        expected = head.get("expect-instance", self.name)
        if expected != self.name:
            fields.append(("Instance-Id", self.name))
            writer.write(answer_bytes(421, fields))
        elif path == "/kv-events":
            await self._send_events(head, writer)
        elif path == "/report":
            self._send_json(writer, 200, self._reports[0][1])
        elif path == "/order":
            self._send_json(writer, self._order(json.loads(body)), {})
        elif head.get("expect-version", str(self.version)) != str(
            self.version
        ):
            fields.append(("Instance-Id", self.name))
            writer.write(answer_bytes(421, fields))
        elif request_id is None:
            writer.write(answer_bytes(400, [("Not-Executed", "1")]))
        else:
            return await self._begin(head, reader, writer)
        await writer.drain()
        return True

    def _send_json(self, writer, status, value):
        fields = [("Content-Type", "application/json")]
        writer.write(answer_bytes(status, fields, json.dumps(value).encode()))

    async def _send_events(self, head, writer):
        await asyncio.sleep(int(head.get("wait-ms", 0)) / 1000)
        news = {"boot_epoch": 1, "next": 0, "lost": False, "events": []}
        self._send_json(writer, 200, news)

    def _report_now(self):
        at_work = [run for run in self.runs.values() if run.is_at_work]
        return {
            "stage": "unified",
            "models": [
                {"name": self.model, "version": self.version, "adapters": []}
            ],
            "busy": self.is_busy,
            "seq": len(self.orders),
            "queued": self.queued,
            "active": len(at_work),
            "kv_used": 1_000 * len(at_work),
            "kv_total": 262_053,
            "handles": len(self.copies),
            "runs": [
                [run.request_id, 1_000, run.next - 1, 5] for run in at_work
            ],
        }

    # Orders.

    def _order(self, order):
        """Accept an order; return the status."""
        if order["fence"] < self.highest_fence:
            return 412
        self.highest_fence = order["fence"]
        if order["version"] == self.version:
            return 200
        if self.is_busy or order.get("expected", len(self.orders)) != len(
            self.orders
        ):
            return 409
        self.orders.append((time.monotonic(), order))
        self._record(f"{self.name}: order {json.dumps(order)}")
        self.is_busy = True
        self._spawn(self._load(order))
        return 202

    async def _load(self, order):
        if order["mode"] == "block":
            await self.idle()
        await asyncio.sleep(self.load_s)
        self.version = order["version"]
        self.is_busy = False
        self._record(f"{self.name}: has version {self.version}")

    # Runs.

    async def idle(self):
        """Wait until no run is at work."""
        while tasks := [run.task for run in self.runs.values() if run.task]:
            await asyncio.wait(tasks)
            for run in list(self.runs.values()):
                if run.task and run.task.done():
                    run.task = None

    async def _begin(self, head, reader, writer):
        request_id = head.get("request-id")
        fields = [("Request-Id", request_id)]
        if self.is_busy:
            fields.append(("Not-Executed", "1"))
            writer.write(answer_bytes(503, fields))
            return True
        first = int(head.get("last-event-id", 0)) + 1
        output_tokens = int(head.get("token-counts").split(",")[1])
        run = Run(request_id, first, min(self.events, output_tokens))
        source = head.get("kv-from")
        if source is not None:
            copied = self.copies.pop(request_id, None)
            if copied is None:
                fields.append(("Not-Executed", "1"))
                writer.write(answer_bytes(503, fields))
                return True
            run.made_with |= copied
        run.backup = head.get("kv-backup", "")
        self.runs[request_id] = run
        made_with = sorted(run.made_with)
        self._record(
            f"{self.name}: begins {request_id} on version {self.version}"
            f" after event {first - 1}"
            + (f", from memory of versions {made_with}" if source else "")
        )
        self.on_begin(run, source is not None)
        channel = _Channel(writer)
        task = run.task = self._spawn(self._work(run, channel))
        watch = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((task, watch), return_when=asyncio.FIRST_COMPLETED)
        if not task.done() and not channel.is_lost:
            # The caller has closed the channel, so the run is dropped.
            task.cancel()
            run.is_at_work = False
            self._record(f"{self.name}: drops {request_id}")
        watch.cancel()
        return False

    def on_begin(self, run, is_continued):
        """Tell a case that a run begins; set by the case."""

    def _copy(self, run):
        """Send a run's memory to its backup, several times a second."""
        now_s = time.monotonic()
        backup = Engine.by_address.get(run.backup)
        if backup is not None and now_s - run.copied_s >= COPY_INTERVAL_S:
            run.copied_s = now_s
            backup.copies[run.request_id] = set(run.made_with)

    async def _work(self, run, channel):
        headers = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {run.request_id}\r\n"
            "Content-Type: text/event-stream\r\n"
            f"Server-Seal: {self.name}.{run.request_id}\r\n"
            f"Weight-Versions: {self.version}\r\n"
            "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        )
        channel.write(headers.encode())
        version = self.version
        while run.next <= run.last:
            await asyncio.sleep(self.event_s)
            run.made_with.add(self.version)
            mark = ""
            if self.version != version:
                version = self.version
                mark = f"weight-versions: {version}\n"
            text = f"{mark}id: {run.next}\ndata: token {run.next}\n\n"
            channel.write(f"{len(text):x}\r\n{text}\r\n".encode())
            run.next += 1
            self._copy(run)
            if run.next - 1 == run.loses_after:
                channel.lose()
                self._record(
                    f"{self.name}: the answer of {run.request_id} is lost"
                    f" after event {run.next - 1}; the run goes on"
                )
        run.is_at_work = False
        self._record(f"{self.name}: has run {run.request_id} to its end")
        backup = Engine.by_address.get(run.backup)
        if backup is not None:
            backup.copies.pop(run.request_id, None)
        channel.write(b"0\r\n\r\n")
        channel.close()


class _Channel:
    """The connection on which an answer is sent, until it is lost."""

    def __init__(self, writer):
        self._writer = writer
        self.is_lost = False

    def write(self, content):
        """Send bytes, unless the answer is lost."""
        if not self.is_lost:
            self._writer.write(content)

    def lose(self):
        """Reset the connection."""
        self.is_lost = True
        reset(self._writer)

    def close(self):
        """Close the connection after the bytes that were sent."""
        if not self.is_lost:
            self._writer.close()


# Plain services.


class Worker:
    """A worker of a plain service."""

    def __init__(self, store, record, name, *, work_s=0.0225):
        self._store, self._record, self.name = store, record, name
        self._work_s = work_s
        self._beating = None

    async def start(self):
        """Listen, register and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = format_address(self._server.sockets[0])
        self._beating = asyncio.ensure_future(self._beat())

    async def _beat(self):
        seq = 0
        while True:
            seq += 1
            entry = {
                "service": "desk",
                "address": self.address,
                "zone": "za",
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq": seq,
            }
            self._store.put("servers", self.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                await self._answer(request[0], writer)
        writer.close()

    async def _answer(self, head, writer):
        request_id = head.get("request-id", "")
        fields = [("Request-Id", request_id)]
        if head.get("expect-instance", self.name) != self.name:
            fields.append(("Instance-Id", self.name))
            writer.write(answer_bytes(421, fields))
        else:
            self._record(f"{self.name}: runs {request_id}")
            await asyncio.sleep(self._work_s)
            fields.append(("Server-Seal", f"{self.name}.{request_id}"))
            writer.write(answer_bytes(200, fields, b"x" * 800))
        await writer.drain()


# Router processes.


def render(template, fields):
    """Return a settings file, as the platform fills in a template."""

    def lookup(path, scope):
        for part in path.split("."):
            if isinstance(scope, dict):
                scope = scope.get(part)
            elif isinstance(scope, list) and part.isdigit():
                scope = scope[int(part)]
            else:
                return None
        return scope

    def section(match):
        value = lookup(match[1], fields)
        return match[2] if value not in (None, False, [], {}) else ""

    def value(match):
        found = lookup(match[1], fields)
        if isinstance(found, list):
            return ",".join(map(str, found))
        return "" if found is None else str(found)

    text = re.sub(r"(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, record, directory, name, store, *, zone="za"):
        self._record, self.name, self.zone = record, name, zone
        self._directory, self._store = directory, store
        self.front, self.ready = free_address(), free_address()
        self.control, self.metrics = free_address(), free_address()
        self.process = None
        self.log_path = pathlib.Path(directory, f"{name}.log")

    async def start(self, seeds):
        """Start the process."""
        host, port = self.metrics.rsplit(":", 1)
        fields = {
            "node": self.name,
            "zone": self.zone,
            "ip": host,
            "internal_ports": [int(port), int(port)],
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "seeds": seeds,
            "platform": {"address": self._store.address},
            "bounds": BOUNDS,
            "limits": LIMITS,
        }
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = role["roles"]["router"]
        template = (ROOT / role["template"]).read_text()
        boot = pathlib.Path(self._directory, f"{self.name}.ini")
        boot.write_text(render(template, fields))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TOUCANRUDDER_BOOT"] = str(boot)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._record(f"{self.name}: started, pid {self.process.pid}")

    async def is_ready(self):
        """Whether it answers that it is ready."""
        try:
            head, _ = await call(self.ready, "GET", "/ready")
        except (OSError, asyncio.IncompleteReadError, CannotRun):
            return False
        return head == 200

    async def wait_ready(self):
        """Wait until it is ready."""
        until_s = time.monotonic() + START_WITHIN_S
        while not await self.is_ready():
            if time.monotonic() > until_s or (
                self.process.returncode is not None
            ):
                raise CannotRun(f"{self.name} did not get ready")
            await asyncio.sleep(0.1)

    def signal(self, number):
        """Send it a signal."""
        self._record(f"{self.name}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self):
        """End the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


async def call(address, method, target, fields=(), body=b""):
    """Make one call on a new connection; return status and body."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
        lines += [f"{name}: {value}" for name, value in fields]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        return await asyncio.wait_for(read_answer(reader), 5.0)
    finally:
        writer.close()


async def read_answer(reader):
    """Return status and body of an answer that states its length."""
    raw = await reader.readuntil(b"\r\n\r\n")
    text = raw.decode("latin-1")
    length = re.search(r"(?im)^content-length: *(\d+)", text)
    content = await reader.readexactly(int(length[1])) if length else b""
    return int(text.split(" ", 2)[1]), content


# Callers.


class StreamAnswer:
    """What a caller has of the answer to a stream request."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = None
        self.events = []
        self.is_whole = False
        self.body = b""


async def stream(
    router, request_id, *, host, path, key, tokens, prefix, wait_ms, record
):
    """Send a stream request and read its answer to the end."""
    answer = StreamAnswer(request_id)
    address = router.front
    reader, writer = await asyncio.open_connection(*address.rsplit(":", 1))
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {host}",
        f"Request-Id: {request_id}",
        "Model: m0",
        f"Token-Counts: {tokens}",
        f"Prompt-Prefix: {prefix}",
        f"Deadline-Ms: {wait_ms}",
        f"Authorization: Bearer {key}",
        "Content-Length: 2",
        "",
        "{}",
    ]
    record(f"caller: sends {request_id} to {router.name}")
    writer.write("\r\n".join(lines).encode())
    try:
        async with asyncio.timeout(wait_ms / 1000 + 1.0):
            await _read_stream(reader, answer)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    finally:
        writer.close()
    record(
        f"caller: {request_id} answered {answer.status},"
        f" {len(answer.events)} events,"
        f" {'whole' if answer.is_whole else 'cut off'}"
    )
    return answer


async def _read_stream(reader, answer):
    raw = await reader.readuntil(b"\r\n\r\n")
    text = raw.decode("latin-1")
    answer.status = int(text.split(" ", 2)[1])
    length = re.search(r"(?im)^content-length: *(\d+)", text)
    if length:
        answer.body = await reader.readexactly(int(length[1]))
        answer.is_whole = True
        return
    pending = b""
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"0", 16)
        pending += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            answer.is_whole = True
            return
        *whole, pending = pending.split(b"\n\n")
        for event in whole:
            match = re.search(rb"(?m)^id: (\d+)", event)
            answer.events.append(int(match[1]))


def configuration(**changes):
    """Return a configuration with two routes for streams."""
    route = {
        "host": "llm.example",
        "kind": "stream",
        "timeout_ms": 15_000,
        "target_latency_ms": 800,
        "target_gap_ms": 400,
        "priority": 1,
        "service": "engines",
        "sticky": True,
        "public": False,
    }
    return {
        "version": 7,
        "routes": [
            {
                **route,
                "name": "review",
                "path_prefix": "/review/",
                "max_attempts": 1,
                "resumable": False,
            },
            {
                **route,
                "name": "check",
                "path_prefix": "/check/",
                "max_attempts": 2,
                "resumable": True,
            },
        ],
        "services": [
            {
                "name": "engines",
                "health_path": "/health",
                "max_conns": 370,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kv_capacity_tokens": 262_053,
                    "kv_token_bytes": 163_840,
                    "link_mbps": 1_100_000.0,
                    "moves": True,
                    "backups": True,
                    "stride": 5,
                    "max_in_flight": 12,
                    "pin_ms": 4000.0,
                    "hold_ms": 2000.0,
                    "handle_s": 5.0,
                    "models": [{"name": "m0"}],
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {"name": "north", "api_keys": ["key-of-north"], "priority": 1}
        ],
        **changes,
    }


def plain_configuration(**changes):
    """Return a configuration with routes to a plain service."""
    route = {
        "host": "app.example",
        "timeout_ms": 800,
        "target_latency_ms": 100,
        "priority": 2,
        "service": "desk",
        "public": False,
        "sticky": False,
    }
    services = [
        {
            "name": "desk",
            "health_path": "/health",
            "max_conns": 110,
            "protocol": "h1",
            "tls": False,
        }
    ]
    routes = [
        {
            **route,
            "name": "status",
            "path_prefix": "/status/",
            "kind": "safe",
            "max_attempts": 2,
        },
        {
            **route,
            "name": "write",
            "path_prefix": "/write/",
            "kind": "unsafe",
            "max_attempts": 1,
        },
    ]
    changes = {"routes": routes, "services": services} | changes
    return configuration(**changes)


@contextlib.asynccontextmanager
async def routers(record, store, names):
    """Run routers during the block, once all of them are ready."""
    with tempfile.TemporaryDirectory() as directory:
        started = [Router(record, directory, each, store) for each in names]
        seeds = [router.control for router in started[:3]]
        try:
            for router in started:
                await router.start(seeds)
            for router in started:
                await router.wait_ready()
            yield started
        finally:
            for router in started:
                await router.stop()
            if keep := os.environ.get("KEEP_LOGS"):
                for router in started:
                    pathlib.Path(keep, f"{router.name}.log").write_bytes(
                        router.log_path.read_bytes()
                    )


async def _limited(case):
    """Run a case in its time; a SIGTERM ends it and all that it started."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(CASE_S):
        return await case


def run_case(main, folder, *, has_trouble):
    """Run a case; exit with 1 if the rule was broken, 2 if it could not run.

    Parameters
    ----------
    main : callable
        Given the record and whether there is trouble, returns the lines that
        say how the rule was broken.
    folder : pathlib.Path
        Where ``record.txt`` is written.
    has_trouble : bool
        Whether the disruption takes place.
    """
    record = Record(folder / "record.txt")
    record(
        f"the disruption {'takes' if has_trouble else 'does not take'} place"
    )
    try:
        breaks = asyncio.run(_limited(main(record, has_trouble)))
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        record(f"the case could not run: {error!r}")
        os._exit(2)
    for line in breaks:
        record(f"BROKEN: {line}")
        print(line, flush=True)
    record("the rule was broken" if breaks else "the rule held")
    os._exit(1 if breaks else 0)

"""Stand-ins of the platform's store and of workers, and a small caller.

They follow ``../given/kit/more/system/PROTOCOL.md`` and use the standard
library only.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from typing import ClassVar
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
BOUNDS = {
    "contact_ms": 3000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 56,
    "version_ms": 8000,
    "lease_ms": 3000,
}
HEARTBEAT_S = 1.2
#: Prompt tokens that an engine reads in a second.
PREFILL_TOKENS_PER_S = 61_200
PAGE = 50


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, "w")  # noqa: SIM115
        self._began_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began_s

    def write(self, event, **fields):
        """Write one line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        print(f"{self.now_s():9.3f} {event} {text}", file=self._file)
        self._file.flush()


class Headers(dict):
    """Header fields by lower-case name; the last of one name counts."""


_TASKS = set()


def keep(coroutine):
    """Run a coroutine as a task that is not collected before its end."""
    task = asyncio.ensure_future(coroutine)
    _TASKS.add(task)
    task.add_done_callback(_TASKS.discard)


async def wait_until(condition):
    """Wait until a condition holds."""
    while True:
        if condition():
            return
        await asyncio.sleep(0.01)


async def read_head(reader):
    """Return the start line and the header fields of a message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = Headers()
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return a message body that has a length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def head_bytes(start_line, headers):
    """Return a message head as bytes."""
    lines = [start_line, *(f"{key}: {value}" for key, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class HttpServer:
    """A server of one request at a time on each connection."""

    def __init__(self):
        self.address = ""
        self._server = None
        self._tasks = {}
        self._port = 0

    async def open(self):
        """Listen, on the same port as before if it listened before."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", self._port
        )
        host, self._port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{self._port}"

    async def crash(self):
        """Stop listening and reset all connections."""
        self._server.close()
        tasks = list(self._tasks)
        for task, writer in list(self._tasks.items()):
            writer.transport.abort()
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def _accept(self, reader, writer):
        keep(self._serve(reader, writer))

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks[task] = writer
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                await self.handle(method, target, headers, body, writer)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            pass  # The peer has closed the connection, or the server died.
        finally:
            del self._tasks[task]
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        """Answer one request."""
        raise NotImplementedError

    def send(self, writer, status, body=b"", headers=()):
        """Send a whole answer."""
        length = ("Content-Length", len(body))
        writer.write(
            head_bytes(f"HTTP/1.1 {status} Said", (*headers, length)) + body
        )

    def send_json(self, writer, status, value, headers=()):
        """Send a whole answer with a JSON body."""
        kind = ("Content-Type", "application/json")
        self.send(writer, status, json.dumps(value).encode(), (*headers, kind))


class Store(HttpServer):
    """The platform's metadata store."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self._revision = 7
        self._items = {}
        self._log = []
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object as the operator or a worker does."""
        known = self._items.get((kind, name))
        if known and known["spec"] == spec:
            return known
        self._revision += 1
        created = known["metadata"]["created_rev"] if known else self._revision
        item = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._items[kind, name] = item
        self._tell(kind, item, False)
        return item

    def delete(self, kind, name):
        """Remove an object."""
        item = self._items.pop((kind, name), None)
        if item is not None:
            self._revision += 1
            self._tell(kind, item, True)

    def _tell(self, kind, item, deleted):
        self._log.append((self._revision, kind, item, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, method, target, headers, body, writer):
        """Answer one call."""
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        _, _, kind, *rest = url.path.split("/")
        name = urllib.parse.unquote(rest[0]) if rest else None
        if method == "GET":
            status, value = await self._read(kind, name, query)
        else:
            value = json.loads(body or b"{}")
            status, value = self._write(method, kind, name, value, query)
            self._record.write(
                "store-write", method=method, kind=kind, status=status
            )
        await asyncio.sleep(0.004)
        self.send_json(writer, status, value)

    async def _read(self, kind, name, query):
        if name is not None:
            item = self._items.get((kind, name))
            return (200, item) if item else (404, {})
        if "watch" in query:
            return await self._watch(kind, query)
        items = [
            item
            for (of_kind, of_name), item in sorted(self._items.items())
            if of_kind == kind and of_name > query.get("after", "")
        ]
        return 200, {
            "items": items[:PAGE],
            "more": len(items) > PAGE,
            "current_rev": self._revision,
        }

    async def _watch(self, kind, query):
        since = int(query["watch"])
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [
                {"object": item, "deleted": deleted}
                for revision, of_kind, item, deleted in self._log
                if of_kind == kind and revision > since
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _write(self, method, kind, name, body, query):
        metadata = body.get("metadata", {})
        name = name or metadata["name"]
        item = self._items.get((kind, name))
        if method == "POST":
            if item is not None:
                return 409, item
            return 200, self.put(kind, name, body.get("spec"))
        if item is None:
            return 404, {}
        revision = metadata.get("revision", query.get("revision"))
        if revision is not None and (
            int(revision) != item["metadata"]["revision"]
        ):
            return 409, item
        if method == "DELETE":
            self.delete(kind, name)
            return 200, item
        return 200, self.put(kind, name, body.get("spec"))


class Worker(HttpServer):
    """A worker of a service; an engine if it has a model."""

    _numbers = itertools.count(1)
    _by_address: ClassVar[dict] = {}

    def __init__(self, store, record, service, *, slots, zone, model=""):
        super().__init__()
        self._store, self._record = store, record
        self.service, self.slots, self.zone = service, slots, zone
        self.model, self.version = model, 1
        self.work_s = 0.0225
        self.on_begin = lambda run: None
        #: Whether the answer of a run is lost now, while the run goes on.
        self.loses_answer = lambda run: False
        self.id = ""
        self.running = {}
        self._beat = None
        self._reset()

    def _reset(self):
        self.orders, self.busy, self.fence = 0, False, 0
        self.holder, self.ordered_s = "", 0.0
        self.copies = set()
        self._read_by_s = 0.0

    async def start(self, *, same_address=False):
        """Start a new process of the worker and register it."""
        self._reset()
        if not same_address:
            self._port = 0
        self.id = f"i-{next(self._numbers):08x}"
        await self.open()
        self._by_address[self.address] = self
        self._record.write(
            "worker-start",
            id=self.id,
            service=self.service,
            version=self.version if self.model else "",
        )
        self._beat = asyncio.ensure_future(self._register())

    async def die(self):
        """Crash; the entry goes after three heartbeats of silence."""
        self._record.write("worker-crash", id=self.id)
        self._beat.cancel()
        dead = self.id
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self._store.delete, "servers", dead
        )
        self.running.clear()
        await self.crash()

    def entry(self):
        """Return the registry entry."""
        models = [
            {"name": self.model, "version": self.version, "adapters": []}
        ]
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
        }
        if self.model:
            entry |= {"stage": "unified", "models": models}
        return entry

    async def _register(self):
        while True:
            self._store.put("servers", self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def _load(self):
        running = len(self.running)
        return ("Server-Load", f"{running},0,{self.slots}")

    async def handle(self, method, target, headers, body, writer):
        """Answer one request."""
        path = target.partition("?")[0]
        expected = headers.get("expect-instance", self.id)
        instance = ("Instance-Id", self.id)
        request_id = headers.get("request-id")
        echoed = [("Request-Id", request_id)] if request_id else []
        not_run = [*echoed, instance, ("Not-Executed", "1")]
        if expected != self.id:
            self.send(writer, 421, b"", not_run)
        elif path == "/report":
            self.send_json(writer, 200, self._report())
        elif path == "/order":
            status = self._order(json.loads(body))
            self.send_json(writer, status, {})
        elif path in ("/kv-events", "/kv-list"):
            await asyncio.sleep(int(headers.get("wait-ms", 0)) / 1000)
            value = {"boot_epoch": int(self.id[2:], 16), "next": 0}
            value |= {"lost": False, "events": [], "held": []}
            self.send_json(writer, 200, value)
        elif path == "/health":
            self.send(writer, 200, b"ok", [instance, self._load()])
        elif headers.get("expect-version", str(self.version)) != str(
            self.version
        ):
            self.send(writer, 421, b"", not_run)
        elif len(self.running) >= self.slots or self.busy:
            self.send(writer, 503, b"", not_run)
        else:
            await self._run(method, target, headers, body, writer)

    def _report(self):
        return {
            "stage": "unified",
            "models": self.entry().get("models", []),
            "busy": self.busy,
            "seq": self.orders,
            "queued": 0,
            "active": len(self.running),
            "kv_used": 0,
            "kv_total": 262053,
            "handles": 0,
            "pinned": 0,
            "held": 0,
            "runs": [
                [request_id, 1000, run["events"], 5]
                for request_id, run in self.running.items()
            ],
        }

    def _order(self, order):
        if "holder" not in order or "fence" not in order:
            return 400
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if order["version"] == self.version:
            return 200
        if self.busy or order.get("expected", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.busy = True
        self.holder = order["holder"]
        self.ordered_s = self._record.now_s()
        self._record.write(
            "order",
            worker=self.id,
            version=order["version"],
            mode=order["mode"],
            holder=order["holder"],
        )
        keep(self._change(order))
        return 202

    async def _change(self, order):
        this = self.id
        if order["mode"] == "block":
            await wait_until(lambda: not self.running)
        await asyncio.sleep(0.4)
        if this == self.id:
            self.version, self.busy = order["version"], False
            self.copies = set()
            self._store.put("servers", self.id, self.entry())

    def _copy_of(self, headers):
        """Return whether this engine holds the copy that a request names."""
        address, _, request_id = headers["kv-from"].partition("/")
        return address == self.address and request_id in self.copies

    async def _run(self, method, target, headers, body, writer):
        if "kv-from" in headers and not self._copy_of(headers):
            not_run = [
                ("Request-Id", headers["request-id"]),
                ("Instance-Id", self.id),
                ("Not-Executed", "1"),
            ]
            self.send(writer, 503, b"", not_run)
            return
        run = {
            "id": headers["request-id"],
            "target": target,
            "headers": headers,
            "version": self.version,
            "worker": self.id,
            "events": 0,
            "at_s": self._record.now_s(),
            "ends_s": None,
        }
        self.running[run["id"]] = run
        self._record.write(
            "run",
            id=run["id"],
            worker=self.id,
            target=target,
            version=self.version if self.model else "",
            tenant=headers.get("tenant", ""),
            salt=headers.get("cache-salt", ""),
            **({"from": headers["kv-from"]} if "kv-from" in headers else {}),
        )
        self.on_begin(run)
        try:
            if self.model:
                await self._stream(run, writer)
            else:
                await asyncio.sleep(self.work_s)
                answer = b"a" * 800
                self.send(writer, 200, answer, self._sealed(run))
        finally:
            run["ends_s"] = self._record.now_s()
            self.running.pop(run["id"], None)

    def _sealed(self, run):
        return [
            ("Request-Id", run["id"]),
            ("Server-Seal", f"seal.{self.id}.{run['id']}"),
            ("Instance-Id", self.id),
            self._load(),
        ]

    async def _prefill(self, run):
        """Read a prompt, after those that came before."""
        loop = asyncio.get_running_loop()
        tokens = int(run["headers"]["token-counts"].split(",")[0])
        self._read_by_s = max(self._read_by_s, loop.time())
        self._read_by_s += tokens / PREFILL_TOKENS_PER_S
        await asyncio.sleep(self._read_by_s - loop.time())

    async def _stream(self, run, writer):
        await self._prefill(run)
        headers = [
            *self._sealed(run),
            ("Weight-Versions", run["version"]),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(head_bytes("HTTP/1.1 200 Said", headers))
        first = int(run["headers"].get("last-event-id") or 0) + 1
        last = int(run["headers"]["token-counts"].split(",")[1])
        for number in range(first, last + 1):
            run["events"] = number
            self._send_copy(run)
            if self.loses_answer(run):
                self._record.write("answer-lost", id=run["id"], worker=self.id)
                writer.transport.abort()
            if not writer.is_closing():
                event = f"id: {number}\ndata: token{number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            await asyncio.sleep(0.02)
        self._record.write("run-end", id=run["id"], worker=self.id)
        if not writer.is_closing():
            writer.write(b"0\r\n\r\n")

    def _send_copy(self, run):
        """Send a copy of a run to the engine that its request names."""
        holder = self._by_address.get(run["headers"].get("kv-backup"))
        if holder is not None and run["events"] % 5 == 0:
            holder.copies.add(run["id"])


class Router:
    """A process of the project, started with the deploy file's command."""

    def __init__(self, name, zone, ports, seeds, store, folder, record):
        self.name, self.zone = name, zone
        self.front, self.ready, self.control = (
            f"127.0.0.1:{port}" for port in ports[:3]
        )
        self._record = record
        self._settings = folder / f"{name}.ini"
        self._log = folder / f"{name}.log"
        fields = {
            "node": name,
            "zone": zone,
            "ip": "127.0.0.1",
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "internal_ports": [ports[3], ports[3]],
            "seeds": seeds,
            "platform": {"address": store},
            "bounds": BOUNDS,
        }
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        template = (ROOT / role["template"]).read_text()
        self._settings.write_text(render(template, fields))
        self._command = role["run"].split()
        self.process = None
        #: Whether it answered the last readiness check with 200.
        self.answers = False
        #: Time of the last start or signal; the router is in touch later.
        self.touched_s = 0.0

    async def start(self):
        """Start the process."""
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["TOUCANRUDDER_BOOT"] = str(self._settings)
        self.touched_s = self._record.now_s()
        self._record.write("router-start", name=self.name)
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send the process a signal."""
        self.touched_s = self._record.now_s()
        self._record.write(
            "router-signal", name=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    async def stop_and_start(self):
        """Stop the router as the platform does, and start it again."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), BOUNDS["grace_s"])
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self._record.write("router-end", name=self.name)
        await self.start()

    def is_in_touch(self, now_s):
        """Whether neither a start nor a signal was a short time ago."""
        return now_s - self.touched_s > BOUNDS["contact_ms"] / 1000

    async def is_ready(self):
        """Return whether the router welcomes new connections."""
        try:
            async with asyncio.timeout(1.0):
                answer = await call(self.ready, "GET", "/ready", {})
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    async def wait_ready(self, within_s=30.0):
        """Wait until the router is ready."""
        async with asyncio.timeout(within_s):
            while True:
                if await self.is_ready():
                    return
                await asyncio.sleep(0.05)

    async def end(self):
        """End the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def log_lines(self):
        """Return what the process has written."""
        return self._log.read_text().splitlines()


def render(template, fields):
    """Fill in a template of settings, as DEPLOY.md describes it."""

    def lookup(name):
        value = fields
        for key in name.split("."):
            if isinstance(value, list):
                value = value[int(key)]
            else:
                value = value.get(key)
            if value is None:
                return None
        return value

    def section(match):
        return "" if lookup(match[1]) is None else match[2]

    def text(match):
        value = lookup(match[1])
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    template = re.sub(
        r"(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template
    )
    return re.sub(r"\{\{([\w.]+)\}\}", text, template)


class Answer:
    """What a caller received."""

    def __init__(self, status=0, headers=None, body=b"", is_whole=False):
        self.status, self.headers = status, headers or Headers()
        self.body, self.is_whole = body, is_whole


async def call(address, method, target, headers, body=b""):
    """Send one request on a new connection; return the answer."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        fields = {"Host": "app.example", **headers}
        if body:
            fields["Content-Length"] = len(body)
        writer.write(
            head_bytes(f"{method} {target} HTTP/1.1", fields.items()) + body
        )
        line, answered = await read_head(reader)
        answer = Answer(int(line.split(" ")[1]), answered)
        answer.body = await read_body(reader, answered)
        answer.is_whole = True
        return answer
    finally:
        writer.close()


async def send(router, record, request_id, method, target, headers, body=b""):
    """Send a caller's request to a router and record what comes of it."""
    wait_s = int(headers["Deadline-Ms"]) / 1000
    headers = {"Request-Id": request_id, **headers}
    record.write("send", id=request_id, router=router.name, target=target)
    answer = Answer()
    try:
        async with asyncio.timeout(wait_s):
            answer = await call(router.front, method, target, headers, body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    record.write(
        "answer",
        id=request_id,
        router=router.name,
        status=answer.status,
        sealed="server-seal" in answer.headers,
    )
    return answer


class Traffic:
    """Callers of a deployment, who send at random times.

    Parameters
    ----------
    deployment : Deployment
        Where they send.
    rate_per_s : float
        Requests a second over all routers.
    request : callable
        Given a number, returns method, target, headers and body.
    on_answer : callable
        Called with each request's ID and answer.
    """

    def __init__(
        self, deployment, rate_per_s, request, on_answer=lambda *_: None
    ):
        self._deployment = deployment
        self._rate_per_s = rate_per_s
        self._request = request
        self._on_answer = on_answer
        #: Router of each request, None if that was not in touch.
        self.in_touch = {}
        self.served = 0

    @contextlib.asynccontextmanager
    async def running(self):
        """Send during the block; then wait for the answers."""
        sending = asyncio.ensure_future(self._send_all())
        tasks = self._tasks = set()
        try:
            yield self
            sending.cancel()
            if tasks:
                await asyncio.wait(tasks, timeout=12.0)
            if not self.served:
                raise RuntimeError("no request was served")
        finally:
            for task in (sending, *tasks):
                task.cancel()

    async def _send_all(self):
        rng = random.Random(1)
        for number in itertools.count(1):
            await asyncio.sleep(rng.expovariate(self._rate_per_s))
            ready = [each for each in self._deployment.routers if each.answers]
            if ready:
                task = asyncio.ensure_future(
                    self._send(number, rng.choice(ready))
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send(self, number, router):
        record = self._deployment.record
        request_id = f"{number:016x}"
        is_in_touch = router.is_in_touch(record.now_s())
        self.in_touch[request_id] = router.name if is_in_touch else None
        answer = await send(router, record, request_id, *self._request(number))
        self.served += answer.status == 200
        self._on_answer(request_id, answer)


#: Below the ports that the kernel gives to outgoing connections.
FIRST_PORT, PORTS_EACH, PORT_BLOCKS = 12_000, 32, 600


def free_ports(count):
    """Return free TCP ports, others than to processes beside this one."""
    for number in range(PORT_BLOCKS):
        block = (os.getpid() + number) % PORT_BLOCKS
        first = FIRST_PORT + block * PORTS_EACH
        ports = list(range(first, first + count))
        if all(map(_is_free, ports)):
            return ports
    raise RuntimeError("no free ports")


def _is_free(port):
    with socket.socket() as each:
        try:
            each.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


ZONES = ("eindhoven-hal", "tilburg-hal", "helmond-hal")


class Deployment:
    """A store, workers and routers on loopback."""

    def __init__(self, folder):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(folder / "record.txt")
        self.store = Store(self.record)
        self.workers = []
        self.routers = []

    async def start(self, configuration, *, routers=3):
        """Start the store and the routers."""
        await self.store.open()
        self.store.put("config", "main", configuration)
        ports = free_ports(4 * routers)
        seeds = [f"127.0.0.1:{port}" for port in ports[2::4]]
        for number in range(routers):
            self.routers.append(
                Router(
                    f"front-{number + 1}",
                    ZONES[number % len(ZONES)],
                    ports[4 * number : 4 * number + 4],
                    seeds[:3],
                    self.store.address,
                    self.folder,
                    self.record,
                )
            )

    async def start_routers(self):
        """Start all routers and wait until they are ready."""
        for router in self.routers:
            await router.start()
        for router in self.routers:
            await router.wait_ready()
        self._checking = asyncio.ensure_future(self._check_ready())

    async def _check_ready(self):
        """Ask the routers once a second, as the platform does."""
        while True:
            for router in self.routers:
                router.answers = await router.is_ready()
            await asyncio.sleep(1.0)

    def router(self, name):
        """Return the router with a name."""
        return next(each for each in self.routers if each.name == name)

    async def worker(self, service, *, slots, zone=ZONES[0], model=""):
        """Start a worker."""
        worker = Worker(
            self.store,
            self.record,
            service,
            slots=slots,
            zone=zone,
            model=model,
        )
        await worker.start()
        self.workers.append(worker)
        return worker

    async def end(self):
        """End all processes."""
        for router in self.routers:
            await router.end()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, folder, *, has_trouble):
    """Run a case; exit with 1 if the rule was broken, 2 if it couldn't run."""

    async def limited():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        deployment = Deployment(pathlib.Path(folder))
        try:
            async with asyncio.timeout(112):
                return await case(deployment, has_trouble)
        finally:
            await deployment.end()

    try:
        breaks = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case couldn't run: {error!r}")
        raise SystemExit(2) from error
    for each in breaks:
        print("broken:", each)
    print("the rule was broken" if breaks else "the rule held")
    raise SystemExit(1 if breaks else 0)

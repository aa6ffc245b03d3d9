"""The platform's side of a soak: what callers and upstreams say there."""

import asyncio
import os
import re
import time

import attrs

from toucanrudder.http1 import message
from toucanrudder.platform import objects
from toucanrudder.platform.testing import standins
from toucanrudder.soak import oracles
from toucanrudder.soak import records

ENGINES, DESK, MODEL = "engines", "desk", "m"
KEYS = {"north": "key-of-north", "south": "key-of-south"}

#: Organisation that shares no cache.
ISOLATED = "south"

#: Pause between two events, and how long an engine takes to load weights.
GAP_S = 0.03
LOAD_S = 0.2

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")

_PATHS = {
    records.Kind.STREAM_ONCE: "/once/x",
    records.Kind.STREAM_RESUMABLE: "/again/x",
    records.Kind.READ: "/read/x",
    records.Kind.WRITE: "/write/x",
    records.Kind.POISON: "/write/poison",
}


def _route(path: str, kind: str, service: str, **fields) -> dict:
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
    } | fields


def configuration(generation: int, cache_store: str) -> dict:
    """Return a document with one more route for each generation."""
    added = [
        _route(f"/g{number}/", "safe", DESK)
        for number in range(1, generation + 1)
    ]
    return {
        "version": generation,
        "routes": [
            _route("/once/", "stream", ENGINES),
            _route("/again/", "stream", ENGINES, resumable=True),
            _route("/read/", "safe", DESK),
            _route("/write/", "unsafe", DESK),
            *added,
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
            {"name": DESK},
            {"name": "kept", "kv_store_addr": cache_store, "zone": "za"},
        ],
        "tenants": [
            {"name": name, "api_keys": [key], "isolated": name == ISOLATED}
            for name, key in KEYS.items()
        ],
    }


def request(
    call: records.Call, organisation: str, part: int
) -> tuple[message.RequestHead, bytes]:
    """Return head and body of a caller's request."""
    path = _PATHS.get(call.kind, f"/g{call.generation}/x")
    headers = {
        "Host": "soak.example",
        "Request-Id": call.request_id,
        "Deadline-Ms": "3000",
        "Authorization": f"Bearer {KEYS[organisation]}",
    }
    method, body = b"GET", b""
    if call.kind.is_stream:
        headers |= {
            "Model": MODEL,
            "Token-Counts": "600,6",
            "Prompt-Prefix": f"a:100,b{part}:300,{call.request_id}:200",
        }
    if call.kind in (records.Kind.WRITE, records.Kind.POISON):
        method = b"POST"
        is_poison = call.kind is records.Kind.POISON
        body = b"poison" if is_poison else call.request_id.encode()
        headers["Content-Length"] = str(len(body))
    fields = tuple(
        (name.encode(), text.encode()) for name, text in headers.items()
    )
    return message.RequestHead(method, path.encode(), fields), body


def take(call: records.Call, head: message.AnswerHead, body: bytes) -> None:
    """Note in a call what its answer says."""
    call.status = head.status
    answers = head.get(b"request-id")
    call.is_own = answers in (None, call.request_id.encode())
    if head.status != 200:
        return
    if call.kind.is_stream:
        found = _EVENT.findall(body)
        call.events = [int(number) for number, _ in found]
        texts = {text for _, text in found}
    else:
        texts = {body} if call.is_whole else set()
    call.is_own &= texts <= {call.request_id.encode()}


def _wall(run: standins.Run) -> str:
    tenant = run.headers["tenant"]
    return tenant if tenant == ISOLATED else ""


def _part_keys(run: standins.Run) -> list[tuple[str, str]]:
    salt = run.headers.get("cache-salt", "")
    parts = run.headers["prompt-prefix"].split(",")
    return [(salt, part.partition(":")[0]) for part in parts]


@attrs.frozen
class Part:
    """A cached part, and what it was made on."""

    version: int
    wall: str


@attrs.define(eq=False)
class Site:
    """What the stand-ins of one soak share.

    Parameters
    ----------
    record : records.Record
        What they see.
    caches : dict
        Parts by address and key, of engines and of the store of parts.
    copies : set
        Runs of which an address holds a copy.
    """

    record: records.Record
    caches: dict[str, dict[tuple[str, str], Part]] = attrs.field(factory=dict)
    copies: set[tuple[str, str]] = attrs.field(factory=set)


class Upstream(standins.Server):
    """An upstream that checks how it is asked.

    Parameters
    ----------
    site : Site
        What all share.
    service : str
        `ENGINES` or `DESK`.
    """

    def __init__(self, site: Site, service: str, zone: str):
        model = MODEL if service == ENGINES else ""
        super().__init__(service, model, zone)
        # Another soak's upstream may get this one's port when it is gone.
        self.incarnation += f"-{os.getpid():x}"
        self.site = site
        self.proxy = ""
        self.is_poisoned = asyncio.Event()
        self.usual = well
        self._running = 0

    def entry(self) -> dict:
        """Return what it registers: callers come through its proxy."""
        return super().entry() | {"address": self.proxy}

    def _report(self) -> dict:
        return super()._report() | {"active": self._running}

    async def handle(self, request, answer) -> None:
        """Note the arrival, then answer."""
        found = request.head.get(b"request-id")
        if found is not None:
            self.site.record.arrivals.append(
                (time.monotonic(), self.service, found.decode())
            )
        await super().handle(request, answer)

    async def _order(self, order: dict, answer) -> None:
        if self.is_fenced(order):
            await answer.whole(412, standins.JSON, b"{}")
            return
        if self.busy or order["expected"] != len(self.orders):
            await answer.whole(409, standins.JSON, b"{}")
            return
        self.orders.append(order)
        self.busy = True
        await answer.whole(202, standins.JSON, b"{}")
        while order["mode"] == "block" and self._running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(LOAD_S)
        self.site.caches[self.proxy] = {}
        self.version, self.busy = order["version"], False

    async def _run(self, run: standins.Run, answer) -> None:
        if self.busy:
            await standins.sheds(self, run, answer)
            return
        self._running += 1
        try:
            await super()._run(run, answer)
        finally:
            self._running -= 1

    def begin(self, run: standins.Run) -> None:
        """Note that a request begins to run, and how it was asked for."""
        copy = _copy_named(run)
        goes_on = copy in self.site.copies
        self.site.copies.discard(copy)
        self.site.record.runs.append(
            records.Run(
                run.request_id,
                self.service,
                self.incarnation,
                time.monotonic(),
                goes_on,
                tuple(self._faults(run)),
            )
        )

    def _faults(self, run: standins.Run):
        if "expect-instance" not in run.headers:
            yield "no instance is expected"
        if run.headers.get("tenant") not in KEYS:
            yield "no organisation"
        if self.model:
            yield from self._cache_faults(run)

    def _cache_faults(self, run: standins.Run):
        """Yield what is wrong with the cache that the run finds."""
        own = self.site.caches.get(self.proxy, {})
        source = self.site.caches.get(run.headers.get("kv-fetch-from"), {})
        for key in _part_keys(run):
            part = own.get(key) or source.get(key)
            if part is None:
                return
            if part.version != self.version:
                yield "stale cache"
            if part.wall != _wall(run):
                yield "cache of another organisation"

    def _read(self, run: standins.Run) -> None:
        """Keep the parts of a prompt that has been read just now."""
        made = Part(self.version, _wall(run))
        kept_at = run.headers.get("kv-save-to", "nowhere")
        for address in (self.proxy, kept_at):
            cache = self.site.caches.setdefault(address, {})
            for key in _part_keys(run):
                # A part stays as it was first made.
                cache.setdefault(key, made)

    def copy(self, run: standins.Run) -> None:
        """Let another engine hold a copy of the run."""
        target = run.headers.get("kv-backup")
        if target:
            self.site.copies.add((target, run.request_id))

    async def serve(self, run: standins.Run, answer) -> None:
        """Answer well."""
        copy = _copy_named(run)
        if copy is not None and copy not in self.site.copies:
            await standins.sheds(self, run, answer)
            return
        self.begin(run)
        if run.body == b"poison":
            self.site.record.crashes.append(time.monotonic())
            self.is_poisoned.set()
            await asyncio.Event().wait()
        if not self.model:
            await asyncio.sleep(GAP_S)
            await answer.whole(200, self.fields(run), run.request_id.encode())
            return
        self.copy(run)
        await asyncio.sleep(GAP_S)
        self._read(run)
        await self._stream(run, answer)

    async def _stream(self, run: standins.Run, answer) -> None:
        await answer.start(200, self.fields(run))
        first = int(run.headers.get("last-event-id", 0)) + 1
        for number in range(first, oracles.EVENTS + 1):
            await asyncio.sleep(GAP_S)
            text = f"id: {number}\ndata: {run.request_id}\n\n"
            await answer.write(text.encode())
        await answer.end()


def _copy_named(run: standins.Run) -> tuple[str, str] | None:
    """Return the copy that a request is to go on from, if any."""
    come_from = run.headers.get("kv-from")
    if come_from is None:
        return None
    address, _, identity = come_from.partition("/")
    return address, identity


async def well(upstream: Upstream, run: standins.Run, answer) -> None:
    """Answer well."""
    await upstream.serve(run, answer)


def _sick(behaviour):
    async def ran(upstream: Upstream, run: standins.Run, answer) -> None:
        upstream.begin(run)
        await behaviour(upstream, run, answer)

    return ran


#: What a sick upstream does with some of its requests.
SICKNESSES = (
    standins.sheds,
    _sick(standins.resets),
    _sick(standins.errs),
    _sick(standins.crosses),
    _sick(standins.unsealed),
    _sick(standins.hangs),
)

WEIGHTS_KIND = objects.WEIGHTS_KIND
UPSTREAM_KIND = objects.UPSTREAM_KIND
DOCUMENT_KIND = objects.CONFIGURATION_KIND
DOCUMENT_NAME = objects.CONFIGURATION_NAME


def weights(version: int) -> dict:
    """Return the object that names new weights."""
    return {"model": MODEL, "version": version}

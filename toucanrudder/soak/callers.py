"""Callers of a soak: they keep using connections until these end."""

import asyncio
import itertools
import os
import random
import time

from toucanrudder.http1 import client
from toucanrudder.platform.testing import soaking
from toucanrudder.soak import oracles
from toucanrudder.soak import records
from toucanrudder.soak import site as sites

#: Longest time for which a caller waits for an answer.
PATIENCE_S = 4.0

#: What callers ask for, and how often against each other.
MIX = {
    records.Kind.STREAM_ONCE: 3,
    records.Kind.STREAM_RESUMABLE: 3,
    records.Kind.READ: 3,
    records.Kind.WRITE: 3,
}

#: What each router is asked for in turn, on one connection.
PROBES = (
    records.Kind.PROBE,
    records.Kind.HEAD_PROBE,
    records.Kind.KEY_PROBE,
)

#: Part of the calls that are broken off early by their caller.
LEAVE_SHARE = 0.03

#: Time after which such a call is broken off.
LEAVE_AFTER_S = 0.05

#: Part of the resumable streams that are broken off by their caller, after
#: some events, and taken up again at any router.
BREAK_SHARE = 0.3
BREAK_AFTER_S = 0.14

#: How often a caller takes one stream up again.
MAX_RESUMPTIONS = 2

#: Long streams: their kinds, events and time limit, and how much longer a
#: caller waits than its limit.
LONG_KINDS = (records.Kind.STREAM_ONCE, records.Kind.STREAM_RESUMABLE)
LONG_EVENTS = (10, 40)
LONG_LIMIT_S = 12.0
OVERTIME_S = 1.0

#: Pause after a long stream that was not served.
LONG_PAUSE_S = 0.3

#: Shared parts that prompts begin with.
PARTS = 4

_numbers = itertools.count(1)


class Caller:
    """Asks one router after the other.

    Parameters
    ----------
    site : sites.Site
        Where the routers are.
    rng : random.Random
        For what is asked, and whom.
    """

    def __init__(self, site: sites.Site, rng: random.Random):
        self._site = site
        self._rng = rng
        self._kept: dict[str, client.UpstreamConnection] = {}

    def call(
        self, kind: records.Kind, router: sites.Router, generation: int = 0
    ) -> records.Call:
        """Return a new call."""
        number = next(_numbers)
        return records.Call(
            request_id=f"{kind.value}-{os.getpid():x}-{number}",
            kind=kind,
            router=router.name,
            router_start=router.starts,
            sent_s=time.monotonic(),
            generation=generation,
        )

    async def ask(
        self,
        call: records.Call,
        router: sites.Router,
        *,
        patience_s: float = PATIENCE_S,
    ) -> records.Call:
        """Ask a router, and note what comes."""
        self._site.record.calls.append(call)
        organisation = self._rng.choice(list(soaking.API_KEYS))
        if call.resumed_after:
            organisation = call.organisation
        if call.kind in (records.Kind.POISON, records.Kind.POISON_PART):
            # They are known by their caller, and one by path and body.
            organisation = next(iter(soaking.API_KEYS))
        call.organisation = organisation
        head, body = soaking.build_request(
            call, organisation, self._rng.randrange(PARTS)
        )
        connection = self._kept.pop(router.name, None)
        try:
            async with asyncio.timeout(patience_s):
                if connection is None or not connection.usable:
                    connection = await client.connect(router.address, 1.0)
                call.sent_s = time.monotonic()
                connection.send(head, body)
                await self._take(call, connection)
        except client.ExchangeError:
            # What has come so far stands in the call.
            pass
        except TimeoutError:
            call.left = patience_s < PATIENCE_S
        finally:
            call.ended_s = time.monotonic()
            self._keep(call, router, connection)
        return call

    async def _take(self, call, connection) -> None:
        head = await connection.next_event()
        connection.keep_for_s = _keep_s(head)
        content = b""
        soaking.record_answer(call, head, content)
        while not isinstance(
            event := await connection.next_event(), client.End
        ):
            content += event.content
            soaking.record_answer(call, head, content)
        call.is_whole = True
        soaking.record_answer(call, head, content)

    def _keep(self, call, router, connection) -> None:
        if connection is None:
            return
        whole = call.is_whole and connection.keep_for_s
        if whole and connection.finish():
            self._kept[router.name] = connection
        else:
            connection.abort()

    async def run(self, until_s: float, pause_s: float) -> None:
        """Ask until a time."""
        kinds, shares = list(MIX), list(MIX.values())
        while time.monotonic() < until_s:
            (kind,) = self._rng.choices(kinds, shares)
            router = self._rng.choice(self._site.routers)
            leaves = self._rng.random() < LEAVE_SHARE
            call = self.call(kind, router)
            patience_s = LEAVE_AFTER_S if leaves else PATIENCE_S
            if kind is records.Kind.STREAM_RESUMABLE:
                # Its own generator, so that other draws stay as they are.
                if random.Random(call.request_id).random() < BREAK_SHARE:
                    patience_s = BREAK_AFTER_S
                await self.ask(call, router, patience_s=patience_s)
                await self._resume(call)
            else:
                await self.ask(call, router, patience_s=patience_s)
            await asyncio.sleep(self._rng.uniform(0, 2 * pause_s))

    async def run_long_streams(self, until_s: float) -> None:
        """Ask for long streams, one after the other, until a time."""
        while time.monotonic() < until_s:
            router = self._rng.choice(self._site.routers)
            call = self.call(self._rng.choice(LONG_KINDS), router)
            call.length = self._rng.randint(*LONG_EVENTS)
            call.limit_s = LONG_LIMIT_S
            await self.ask(call, router, patience_s=LONG_LIMIT_S + OVERTIME_S)
            if not call.is_served:
                await asyncio.sleep(LONG_PAUSE_S)

    async def _resume(self, call: records.Call) -> None:
        """Take a broken stream up again, at any router."""
        # Its own generator, so that other draws do not depend on breaks.
        rng = random.Random(call.request_id)
        for _ in range(MAX_RESUMPTIONS):
            if call.is_served or not call.events:
                return
            router = rng.choice(self._site.routers)
            resumed = self.call(call.kind, router)
            resumed.organisation = call.organisation
            resumed.stream_id = call.stream_id or call.request_id
            resumed.resumed_after = call.events[-1]
            call = await self.ask(resumed, router)

    async def probe(self, until_s: float, pause_s: float) -> None:
        """Ask all routers after the newest document until a time."""
        while time.monotonic() < until_s:
            for router in self._site.routers:
                for kind in PROBES:
                    call = self.call(kind, router, self._site.generation)
                    call.has_long_head = self._may_have_long_head(call)
                    await self.ask(call, router)
            await asyncio.sleep(pause_s)

    def _may_have_long_head(self, call: records.Call) -> bool:
        """Whether a limit on heads is in force that was raised for long.

        A refusal before would close the connection that must follow it.
        """
        since_s = self._site.record.acknowledged[call.generation]
        return (
            call.kind is records.Kind.HEAD_PROBE
            and soaking.may_be_long(call.generation)
            and time.monotonic() - since_s > oracles.APPLY_S + oracles.SLACK_S
        )


def _keep_s(head) -> float:
    """Return for how long a caller keeps a connection after an answer."""
    closes = (head.get(b"connection") or b"").lower() == b"close"
    return 0.0 if closes else 30.0

"""Which peers are asked for a newer document."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
import logging
import random

from toucanrudder.peers import node as nodes

LOG = logging.getLogger(__name__)

#: Time without an answer after which another peer is asked as well, and its
#: growth with each one: a document may be large and the link slow.  The
#: deadline of a call allows for a busy peer.
HEDGE_DELAY_S = 0.2
HEDGE_GROWTH = 1.5

#: Peers that are asked at one time.
MAX_FETCHES = 5

#: Peers that are remembered for not having answered.
MAX_UNANSWERED = 64


class DocumentFetcher:
    """Asks peers that have a newer document, until it is in force here.

    One peer is asked first.  While none has answered, others are asked as
    well, since a peer may answer heartbeats and not the request for its
    document.  Those that did not answer the last time come last.

    Parameters
    ----------
    generation : callable
        Returns the generation in force here.
    fetch : callable
        Asks the peer at an address, and takes its document; returns whether
        it answered.
    spawn : callable
        Starts a task that ends with the client.
    rng : random.Random
        Chooses among the peers that are ahead.
    """

    def __init__(
        self,
        generation: Callable[[], int],
        fetch: Callable[[str], Awaitable[bool]],
        spawn: Callable[..., asyncio.Task],
        rng: random.Random,
    ):
        self._generation = generation
        self._fetch = fetch
        self._spawn = spawn
        self._rng = rng
        self._ahead: dict[str, int] = {}
        self._unanswered: set[str] = set()
        self._task: asyncio.Task | None = None

    def record(self, address: str, generation: int) -> None:
        """Note the generation of a peer; begin to ask if it is newer."""
        if generation <= self._generation():
            self._ahead.pop(address, None)
            return
        self._ahead[address] = generation
        if self._task is None or self._task.done():
            self._task = self._spawn(self._run())

    async def _run(self) -> None:
        running: dict[str, asyncio.Task] = {}
        try:
            while self._drop_outdated():
                address = self._next_peer(running)
                if address is not None and len(running) < MAX_FETCHES:
                    running[address] = asyncio.ensure_future(
                        self._fetch(address)
                    )
                await asyncio.wait(
                    running.values(),
                    timeout=HEDGE_DELAY_S * HEDGE_GROWTH ** (len(running) - 1),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for address in [a for a, t in running.items() if t.done()]:
                    self._record_end(address, running.pop(address).result())
                    # Asked again only if its next heartbeat is still ahead.
                    self._ahead.pop(address, None)
        finally:
            for address, task in running.items():
                task.cancel()
                self._record_end(address, False)
                nodes.count_refusal("document_unanswered")
                LOG.info(
                    "peer gave no document; another one did",
                    extra={"peer": address},
                )

    def _record_end(self, address: str, is_answered: bool) -> None:
        self._unanswered.discard(address)
        if not is_answered and len(self._unanswered) < MAX_UNANSWERED:
            self._unanswered.add(address)

    def _next_peer(self, running: Collection[str]) -> str | None:
        """Return a peer to ask, if there is another one."""
        idle = [each for each in self._ahead if each not in running]
        answering = [each for each in idle if each not in self._unanswered]
        return self._rng.choice(answering or idle) if idle else None

    def _drop_outdated(self) -> bool:
        """Drop peers that are not ahead; return whether some are."""
        current = self._generation()
        self._ahead = {
            address: generation
            for address, generation in self._ahead.items()
            if generation > current
        }
        return bool(self._ahead)

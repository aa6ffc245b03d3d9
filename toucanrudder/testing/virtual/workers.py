"""Upstreams that answer whole requests on virtual time."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs

from toucanrudder.forwarding import dialect
from toucanrudder.forwarding import model
from toucanrudder.http1 import client
from toucanrudder.http1 import message

#: Time for which an upstream works on one request.
WORK_S = 0.02


@attrs.frozen
class Arrival:
    """A request that has reached an upstream.

    Parameters
    ----------
    at_s : float
        Virtual time.
    upstream, router, request_id : str
        Where it arrived, who sent it, and its ID.
    """

    at_s: float
    upstream: str
    router: str
    request_id: str


@attrs.frozen
class Statement:
    """What an upstream has said of itself in an answer.

    Parameters
    ----------
    at_s : float
        Virtual time of the answer.
    upstream, router : str
        Who said it, and to whom.
    is_leaving : bool
        Whether it leaves.
    rest_s : float or None
        Rest that it asked for.
    """

    at_s: float
    upstream: str
    router: str
    is_leaving: bool = False
    rest_s: float | None = None


@attrs.define(eq=False)
class Worker:
    """An upstream of a plain service.

    Parameters
    ----------
    name, service, address : str
        As registered.
    arrivals : list of Arrival
        Where it notes what reaches it.
    statements : list of Statement
        Where it notes what it says of itself.

    Attributes
    ----------
    born_ms : int
        Start time of its process.
    is_full : bool
        Whether it refuses all requests for want of room.
    is_failing : bool
        Whether it answers all requests with an error of its own.
    limit_per_s : float or None
        Requests a second that it says it takes.
    is_leaving : bool
        Whether its answers say that it leaves.
    rest_s : float or None
        Rest that it asks for when it refuses a request.
    max_requests : int or None
        Requests that it works on at once; it refuses others.
    work_s : float
        Time for which it works on one request.
    tells_load : bool
        Whether its answers tell its load.
    served : int
        Requests that it has worked on.
    """

    name: str
    service: str
    address: str
    arrivals: list[Arrival] = attrs.field(repr=False)
    statements: list[Statement] = attrs.field(repr=False)
    born_ms: int = 1
    is_full: bool = False
    is_failing: bool = False
    limit_per_s: float | None = None
    is_leaving: bool = False
    rest_s: float | None = None
    max_requests: int | None = None
    work_s: float = WORK_S
    tells_load: bool = False
    served: int = 0
    running: int = 0

    def entry(self) -> dict:
        """Return its entry in the registry."""
        return {
            "service": self.service,
            "address": self.address,
            "born_ms": self.born_ms,
            "leaving": False,
            "weights": {},
            **({"slots": self.max_requests} if self.max_requests else {}),
        }

    def _record(self, arrival: Arrival, **said) -> None:
        now_s = asyncio.get_running_loop().time()
        self.statements.append(
            Statement(now_s, self.name, arrival.router, **said)
        )

    async def answer(self, arrival: Arrival) -> message.AnswerHead:
        """Work on a request and return the head of the answer."""
        self.arrivals.append(arrival)
        headers = [(b"id", arrival.request_id.encode())]
        if self.limit_per_s is not None:
            headers.append((b"limit", str(self.limit_per_s).encode()))
        if self.is_leaving:
            headers.append((b"leaving", b"1"))
            self._record(arrival, is_leaving=True)
        if self.is_full or self.running == self.max_requests:
            if self.rest_s is not None:
                headers.append((b"rest", str(self.rest_s).encode()))
                self._record(arrival, rest_s=self.rest_s)
            return message.AnswerHead(503, tuple(headers))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.served += 1
        if self.tells_load:
            headers.append((b"load", str(self.running).encode()))
        status = 500 if self.is_failing else 200
        return message.AnswerHead(status, tuple(headers))


@attrs.define(eq=False)
class Connection:
    """A router's connection to a worker; it carries one exchange at a time.

    Parameters
    ----------
    router : str
        Who has opened it.
    worker : Worker
        Where it leads.
    hop : callable
        Waits for the time of one way between two processes.
    is_cut : callable
        Whether nothing passes now.
    """

    router: str
    worker: Worker
    hop: Callable[[], Awaitable[None]]
    is_cut: Callable[[], bool]
    idle_since_s: float = 0.0
    keep_for_s: float | None = None
    uses: int = 0
    has_pending_event: bool = False
    _exchange: asyncio.Future | None = None
    _events: list = attrs.field(factory=list)
    _is_closed: bool = False

    @property
    def address(self) -> str:
        """Address of the worker."""
        return self.worker.address

    @property
    def usable(self) -> bool:
        """Whether another request can be sent on it."""
        return not self._is_closed

    @property
    def reused(self) -> bool:
        """Whether it carried another request before the current one."""
        return self.uses > 1

    def send(self, head: message.RequestHead, body: bytes) -> None:
        """Send a request."""
        self.uses += 1
        self._exchange = asyncio.ensure_future(self._answered(head))

    async def next_event(self):
        """Return the next part of the answer."""
        if self._exchange is not None:
            # A reader that gives up for now leaves the exchange as it is.
            head = await asyncio.shield(self._exchange)
            self._exchange = None
            self._events = [client.End(), head]
        return self._events.pop()

    async def _answered(self, head: message.RequestHead):
        await self._pass()
        now_s = asyncio.get_running_loop().time()
        request_id = head.get(b"id").decode()
        answer = await self.worker.answer(
            Arrival(now_s, self.worker.name, self.router, request_id)
        )
        await self._pass()
        return answer

    async def _pass(self) -> None:
        if self.is_cut():
            await asyncio.Event().wait()
        await self.hop()

    def finish(self) -> bool:
        """End an exchange; return whether it can be reused."""
        return not self._is_closed

    def abort(self) -> None:
        """Close it."""
        self._is_closed = True
        if self._exchange is not None:
            self._exchange.cancel()


def _load(running: float | None) -> model.Load | None:
    return None if running is None else model.Load(int(running), 0, 0)


class PlainDialect(dialect.Dialect):
    """Heads of virtual requests and answers: ID, time limit, limit."""

    def read_call(self, head: message.RequestHead) -> model.Call:
        """Parse the head of a caller's request."""
        return model.Call(
            request_id=head.get(b"id").decode(),
            host="h",
            path=head.target.decode(),
            api_key=(head.get(b"key") or b"").decode() or None,
            wait_s=float(head.get(b"wait")),
        )

    def upstream_request(
        self, head, body, matched, instructions
    ) -> message.RequestHead:
        """Return the head of the request for an upstream."""
        return head

    def answer_facts(self, call, upstream, answer) -> dialect.AnswerFacts:
        """Parse the head of an upstream's answer."""
        return dialect.AnswerFacts(
            is_for_request=answer.get(b"id") == call.request_id.encode(),
            has_not_run=answer.status == 503,
            is_sealed=True,
            load=_load(message.number(answer, b"load")),
            rate_limit_per_s=message.stated_number(answer, b"limit"),
            is_leaving=answer.get(b"leaving") is not None,
            retry_after_s=message.number(answer, b"rest"),
        )

    def error_answer(self, error, request_id):
        """Return headers and body of an error answer."""
        headers = []
        if error.retry_after_s is not None:
            headers.append((b"retry-after", str(error.retry_after_s).encode()))
        return tuple(headers), error.code.value.encode()

    def event_id(self, event: bytes) -> str | None:
        """Return None; there are no streams."""
        return None

    def event_weights(self, event: bytes) -> int | None:
        """Return None; there are no streams."""
        return None

"""A store's HTTP answers, as what they prove.

Which statuses say "nothing was done" is what the standard says of them;
paths and bodies are each store's own.
"""

import attrs

from toucanrudder import clock
from toucanrudder.http1 import calls
from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.http1 import pool
from toucanrudder.store import eras
from toucanrudder.store import interface
from toucanrudder.store import strange
from toucanrudder.store import typed

#: A new connection crosses one zone border at most.
CONNECT_S = 1.0

#: Answers by which a call had no effect.
_REFUSED = (429, 503)

_NO_ANSWER = (client.ExchangeError, TimeoutError, calls.Unreadable)


@attrs.frozen
class Answer:
    """What a store answered.

    Parameters
    ----------
    status : int
        Of HTTP.
    body : object
        What was parsed from its body.
    era : int
        Rises when the store is restored from an older copy; 0 if it does
        not tell.
    """

    status: int
    body: object
    era: int = 0


def parse_record(made: type[typed.Made], answer: Answer) -> typed.Made:
    """Return the record in the answer to a read.

    Raises
    ------
    StoreUnavailable
        There is none: the store is not well.
    """
    try:
        return typed.read(made, answer.body, "store")
    except interface.MalformedObject as error:
        raise interface.StoreUnavailable(str(error)) from error


@attrs.define
class RestCalls:
    """Reads and conditional writes at one address.

    Parameters
    ----------
    address : str
        ``IP:port``.
    era_field : bytes
        Lower-case name of the field in which answers tell the store's
        era; empty for a store without eras.
    """

    address: str
    era_field: bytes = b""
    connections: pool.ConnectionPool = attrs.field(factory=pool.ConnectionPool)
    count: int = 0
    era_guard: eras.EraGuard = attrs.field(
        default=attrs.Factory(
            lambda self: eras.EraGuard(self.address), takes_self=True
        )
    )

    async def read(self, path: str, timeout_s: float) -> Answer:
        """Return the answer to a read: 200, 404 or 410.

        Raises
        ------
        StoreUnavailable
            There was no other.
        """
        try:
            answer = await self._exchange(b"GET", path, None, timeout_s)
        except _NO_ANSWER as error:
            raise interface.StoreUnavailable(str(error)) from error
        except interface.MalformedObject as error:
            strange.log_malformed(error)
            raise interface.StoreUnavailable(str(error)) from error
        if answer.status not in (200, 404, 410):
            raise interface.StoreUnavailable(f"status {answer.status}")
        return answer

    async def write(
        self, method: bytes, path: str, body: object, timeout_s: float
    ) -> Answer:
        """Return the answer to a write that took effect.

        Raises
        ------
        ConditionFailed, StoreUnavailable, OutcomeUnknown
            As `interface.ConditionalStore` says.
        """
        try:
            answer = await self._exchange(method, path, body, timeout_s)
        except client.ExchangeError as error:
            if not error.sent:
                raise interface.StoreUnavailable(str(error)) from error
            raise interface.OutcomeUnknown(str(error)) from error
        except (TimeoutError, calls.Unreadable) as error:
            raise interface.OutcomeUnknown(str(error)) from error
        except interface.MalformedObject as error:
            strange.log_malformed(error)
            raise interface.OutcomeUnknown(str(error)) from error
        if answer.status in _REFUSED:
            raise interface.StoreUnavailable(f"status {answer.status}")
        if answer.status in (404, 409):
            raise interface.ConditionFailed(path)
        if answer.status >= 300:
            raise interface.OutcomeUnknown(f"status {answer.status}")
        return answer

    async def _exchange(
        self, method: bytes, path: str, body: object, timeout_s: float
    ) -> Answer:
        self.count += 1
        found = await calls.call(
            self.connections,
            self.address,
            method,
            path,
            body=body,
            timeout_s=timeout_s,
            connect_timeout_s=CONNECT_S,
            clock=clock.now_s,
        )
        return Answer(found.status, found.body, self._era(found.headers))

    def _era(self, headers: message.Headers) -> int:
        if not self.era_field:
            return 0
        return self.era_guard.check(message.first(headers, self.era_field))


class RestStore(interface.ConditionalStore):
    """A store that is called over HTTP.

    Parameters
    ----------
    calls : RestCalls
        To it.
    """

    def __init__(self, calls: RestCalls):
        self.calls = calls

    @property
    def era(self) -> int:
        """Era of the newest answer; 0 from a store that tells none."""
        return self.calls.era_guard.newest

    def close(self) -> None:
        """Close the kept connections."""
        self.calls.connections.close()

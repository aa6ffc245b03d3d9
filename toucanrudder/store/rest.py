"""Calls to a store over HTTP, with results by what the response proves.

The statuses that prove that a call had no effect follow the HTTP standard;
paths and bodies differ from store to store.
"""

import attrs

from toucanrudder import clock
from toucanrudder.http1 import calls
from toucanrudder.http1 import client
from toucanrudder.http1 import json_text
from toucanrudder.http1 import message
from toucanrudder.http1 import pool
from toucanrudder.store import eras
from toucanrudder.store import interface
from toucanrudder.store import strange
from toucanrudder.store import typed

#: Connect timeout; a new connection crosses one zone border at most.
CONNECT_TIMEOUT_S = 1.0

#: Statuses that prove that a call had no effect.
_REJECTED = (429, 503)

_NO_RESPONSE = (client.ExchangeError, TimeoutError, json_text.Unreadable)


@attrs.frozen
class Answer:
    """Response of a store.

    Parameters
    ----------
    status : int
        HTTP status.
    body : object
        Parsed body.
    era : int
        Era of the store, which increases when the store is restored from
        an older copy; 0 from a store without eras.
    """

    status: int
    body: object
    era: int = 0


def parse_record(made: type[typed.Made], answer: Answer) -> typed.Made:
    """Return the record in the response to a read.

    Raises
    ------
    StoreUnavailable
        The response holds no such record.
    """
    try:
        return typed.read(made, answer.body, "store")
    except interface.MalformedObject as error:
        raise interface.StoreUnavailable(str(error)) from error


@attrs.define
class RestCalls:
    """Reads and conditional writes to one store address.

    Parameters
    ----------
    address : str
        ``IP:port``.
    era_field : bytes
        Lower-case name of the response header with the store's era; empty
        for a store without eras.
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
        """Return the response to a read, with status 200, 404 or 410.

        Raises
        ------
        StoreUnavailable
            There was no response, or it had another status.
        """
        try:
            answer = await self._exchange(b"GET", path, None, timeout_s)
        except _NO_RESPONSE as error:
            raise interface.StoreUnavailable(str(error)) from error
        except interface.MalformedObject as error:
            strange.log_malformed(error)
            raise interface.StoreUnavailable(str(error)) from error
        if answer.status not in (200, 404, 410):
            raise interface.StoreUnavailable(f"HTTP status {answer.status}")
        return answer

    async def write(
        self, method: bytes, path: str, body: object, timeout_s: float
    ) -> Answer:
        """Return the response to a write that took effect.

        Raises
        ------
        ConditionFailed, StoreUnavailable, OutcomeUnknown
            As documented at `interface.ConditionalStore`.
        """
        try:
            answer = await self._exchange(method, path, body, timeout_s)
        except client.ExchangeError as error:
            if not error.sent:
                raise interface.StoreUnavailable(str(error)) from error
            raise interface.OutcomeUnknown(str(error)) from error
        except (TimeoutError, json_text.Unreadable) as error:
            raise interface.OutcomeUnknown(str(error)) from error
        except interface.MalformedObject as error:
            strange.log_malformed(error)
            raise interface.OutcomeUnknown(str(error)) from error
        if answer.status in _REJECTED:
            raise interface.StoreUnavailable(f"HTTP status {answer.status}")
        if answer.status in (404, 409):
            raise interface.ConditionFailed(path)
        if answer.status >= 300:
            raise interface.OutcomeUnknown(f"HTTP status {answer.status}")
        return answer

    async def _exchange(
        self, method: bytes, path: str, body: object, timeout_s: float
    ) -> Answer:
        self.count += 1
        response = await calls.call(
            self.connections,
            self.address,
            method,
            path,
            body=body,
            timeout_s=timeout_s,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            clock=clock.now_s,
        )
        return Answer(
            response.status, response.body, self._era(response.headers)
        )

    def _era(self, headers: message.Headers) -> int:
        if not self.era_field:
            return 0
        return self.era_guard.check(
            message.first_value(headers, self.era_field)
        )


class RestStore(interface.ConditionalStore):
    """Store that is called over HTTP.

    Parameters
    ----------
    calls : RestCalls
        Calls to the store.
    """

    def __init__(self, calls: RestCalls):
        self.calls = calls

    @property
    def era(self) -> int:
        """Era of the newest response; 0 from a store without eras."""
        return self.calls.era_guard.newest

    def close(self) -> None:
        """Close the kept-alive connections."""
        self.calls.connections.close()

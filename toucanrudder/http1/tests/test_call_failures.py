"""What a call without a response says of its peer."""

import time

import pytest

from toucanrudder.http1 import calls
from toucanrudder.http1 import client
from toucanrudder.http1 import pool

ADDRESS = "10.0.0.1:1"


def connect_failing_with(cause):
    """Return a function that opens no connection, as `client.connect`."""

    async def connect(address, timeout_s):
        fault = client.Fault.NOT_CONNECTED
        if isinstance(cause, TimeoutError):
            fault = client.Fault.CONNECT_TIMEOUT
        raise client.ExchangeError(fault, sent=False) from cause

    return connect


class Connection(client.UpstreamConnection):
    """A connection that neither side has closed."""

    is_open = True


#: Cause of the failure, whether another connection is open, and the result.
FAILURES = {
    "refused": (ConnectionRefusedError(), False, "refused"),
    "refused beyond a limit": (ConnectionRefusedError(), True, "no_answer"),
    "reset while it opens": (ConnectionResetError(), False, "no_answer"),
    "no route": (OSError("no route to host"), False, "not_reached"),
    "timeout": (TimeoutError(), False, "not_reached"),
}


@pytest.mark.parametrize(
    ("cause", "is_connected", "failure"),
    FAILURES.values(),
    ids=FAILURES.keys(),
)
async def test_failed_call_tells_a_dead_peer_from_others(
    cause, is_connected, failure
):
    """Guards against a live or unreached peer that is taken for dead."""
    connections = pool.ConnectionPool(connect_failing_with(cause))
    if is_connected:
        connections._in_use[ADDRESS] = {Connection(ADDRESS)}
    answer = await calls.try_call(
        connections,
        ADDRESS,
        b"GET",
        "/x",
        timeout_s=0.5,
        connect_timeout_s=0.5,
        clock=time.monotonic,
    )
    assert (answer.status, answer.failure.value) == (0, failure)


async def test_reset_of_an_opened_connection_proves_that_the_peer_lives():
    """Guards against an engine out of reach because it resets connections."""

    async def connect(address, timeout_s):
        connection = client.UpstreamConnection(address)
        connection._fail(client.Fault.RESET)
        return connection

    answer = await calls.try_call(
        pool.ConnectionPool(connect),
        ADDRESS,
        b"GET",
        "/x",
        timeout_s=0.5,
        connect_timeout_s=0.5,
        clock=time.monotonic,
    )
    assert answer.failure is calls.Failure.NO_ANSWER

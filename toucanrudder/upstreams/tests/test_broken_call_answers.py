"""Broken answers to the calls that routers of the own interface make."""

import asyncio
import contextlib

import pytest

from toucanrudder.controllers import cache_events
from toucanrudder.controllers import instances as instance_lists
from toucanrudder.controllers import kv_transfer
from toucanrudder.store import http as http_store
from toucanrudder.store import interface
from toucanrudder.testing import resets
from toucanrudder.upstreams.tests import test_endless_answers

DEADLINE_S = 5.0


async def list_instances(session, address):
    return await test_endless_answers.instance_controller(
        session, address
    )._list()


async def list_objects(session, address):
    store = http_store.HttpObjectStore(address, session, session)
    return await store.list("claims", timeout_s=DEADLINE_S)


async def watch_object(session, address):
    store = http_store.HttpObjectStore(address, session, session)
    return await store.watch("configuration", "current", 1, wait_s=1.0)


async def create_object(session, address):
    store = http_store.HttpObjectStore(address, session, session)
    return await store.create("claims", "c", {}, timeout_s=DEADLINE_S)


async def delete_object(session, address):
    store = http_store.HttpObjectStore(address, session, session)
    return await store.delete("claims", "c", 1, timeout_s=DEADLINE_S)


async def order_copy(session, address):
    controller = test_endless_answers.transfer_controller(session)
    return await controller._call_engine(
        test_endless_answers.engine(address), "export", (), "vault", DEADLINE_S
    )


async def follow_cache(session, address):
    controller = test_endless_answers.cache_controller(session)
    return await controller._read_stream(
        test_endless_answers.engine(address), cache_events._Position()
    )


#: Calls, with the errors by which they fail.
CALLS = {
    "instances": (list_instances, instance_lists.FAILURES),
    "list of objects": (list_objects, interface.StoreUnavailable),
    "watch of an object": (watch_object, interface.StoreUnavailable),
    "new object": (create_object, interface.OutcomeUnknown),
    "deleted object": (delete_object, interface.OutcomeUnknown),
    "order to copy": (order_copy, kv_transfer.CALL_ERRORS),
    "cache events": (follow_cache, cache_events.FAILURES),
}

#: An answer that each of the calls can read.
BODY = (
    b'{"instances":[],"items":[],"name":"current","version":1,"value":{},'
    b'"seq":1,"incarnation":"i","kind":"none"}\n'
)


def _whole(status):
    return (
        b"HTTP/1.1 %s X\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
        % (status, len(BODY))
        + BODY
    )


#: Answers that are none, and whether the connection is reset behind them.
BROKEN = {
    "status 000": (_whole(b"000"), False),
    "status 099": (_whole(b"099"), False),
    "status 600": (_whole(b"600"), False),
    "status 999": (_whole(b"999"), False),
    "no body, reset": (b"HTTP/1.1 200 OK\r\n\r\n", True),
    "part of a body, reset": (b"HTTP/1.1 200 OK\r\n\r\n" + BODY[:40], True),
    "part of its length": (_whole(b"200")[:-40], False),
    "part of a chunk": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n80\r\n" + BODY,
        False,
    ),
}

#: An event stream may end at any time; each of its lines is whole or dropped.
ROWS = {
    f"{name}, {of}": (make_call, failures, answer, is_reset)
    for name, (make_call, failures) in CALLS.items()
    for of, (answer, is_reset) in BROKEN.items()
    if not (is_reset and make_call is follow_cache)
}


def _answering(answer, is_reset):
    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, EOFError):
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith((b"PUT ", b"POST ")):
                # A close with an unread body would reset the connection.
                await reader.read(len(BODY))
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(0.02)
            if is_reset:
                resets.reset_on_close(writer.get_extra_info("socket"))
        writer.close()

    return serve


@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS.keys())
async def test_calls_read_the_answer_that_is_broken_below(call):
    """Guards against rows of the next test that fail for another reason."""
    async with test_endless_answers.calling(
        _answering(_whole(b"200"), False)
    ) as (session, address):
        await call[0](session, address)


@pytest.mark.parametrize(
    ("make_call", "failures", "answer", "is_reset"),
    ROWS.values(),
    ids=ROWS.keys(),
)
async def test_broken_answer_is_none(make_call, failures, answer, is_reset):
    """Guards against lists that are empty because their answer broke off."""
    async with (
        test_endless_answers.calling(_answering(answer, is_reset)) as (
            session,
            address,
        ),
        asyncio.timeout(DEADLINE_S),
    ):
        with pytest.raises(failures):
            await make_call(session, address)

"""Writes the engine stand-in's answers, faults included."""

import asyncio
import json
import os

from aiohttp import web

from toucanrudder.standins import batch
from toucanrudder.standins import faults as engine_faults

CRASH_STATUS = 70
CRASH_DELAY_S = 0.02
OTHER_REQUEST = "somebody-elses-request"


async def write_events(
    response: web.StreamResponse,
    run: batch.Run,
    after: int,
    faults: engine_faults.Faults,
    first_connection: bool,
) -> None:
    """Send a run's events after `after` until the last one.

    Parameters
    ----------
    response : web.StreamResponse
        Prepared response.
    run : batch.Run
        Whose events.
    after : int
        Number of the last event that the reader has.
    faults : engine_faults.Faults
        What goes wrong; read anew for each event.
    first_connection : bool
        Whether this is the answer to the request itself, not a resume.

    Raises
    ------
    ConnectionError
        The run was cancelled, or a fault broke the connection.
    """
    position = after - run.after
    while True:
        changed = run.changed
        ready = run.events[position:]
        if ready and not faults.strikes_events:
            await response.write(b"".join(ready))
        else:
            first = first_connection and run.after == 0
            for offset, event in enumerate(ready, position + run.after + 1):
                await _write_one(response, event, offset, faults, first)
        position += len(ready)
        if run.state == "cancelled":
            raise ConnectionError("cancelled")
        if run.ended and position == len(run.events):
            return
        if position == len(run.events):
            await changed.wait()


async def _write_one(
    response: web.StreamResponse,
    event: bytes,
    number: int,
    faults: engine_faults.Faults,
    first_connection: bool,
) -> None:
    if not first_connection:
        await response.write(event)
        return
    if number == faults.crossed_event:
        event = _crossed(event)
    if number != faults.skipped_event:
        await response.write(event)
    if number == faults.duplicated_event:
        await response.write(event)
    if number == faults.crash_after_event:
        # Time for the event to leave the socket's buffer.
        await asyncio.sleep(CRASH_DELAY_S)
        os._exit(CRASH_STATUS)
    if number == faults.end_after_event:
        raise EndsEarly
    if number == faults.cut_after_event:
        raise ConnectionError("cut")
    if number == faults.stall_after_event:
        await asyncio.Event().wait()


class EndsEarly(Exception):
    """The answer ends in good form, but is not complete."""


def _crossed(event: bytes) -> bytes:
    head, _, data = event.partition(b"data: ")
    if not data.startswith(b"{"):
        return event
    chunk = json.loads(data)
    chunk["id"] = f"chatcmpl-{OTHER_REQUEST}"
    return head + b"data: " + json.dumps(chunk).encode() + b"\n\n"


def write_stale_answer(request: web.Request, refusal: bool) -> None:
    """Write a late answer to another request on this connection."""
    answer = {
        "id": f"chatcmpl-{OTHER_REQUEST}",
        "object": "chat.completion",
        "created": 0,
        "model": "",
        "choices": [],
    }
    body = json.dumps(answer).encode()
    status = "503 Service Unavailable\r\nX-Not-Run: 1" if refusal else "200 OK"
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
        f"X-Request-Id: {OTHER_REQUEST}\r\nX-Incarnation: stale\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    if request.transport is not None:
        request.transport.write(head.encode() + body)

"""A server whose process is stopped for a while."""

import asyncio
import signal
import sys

import pytest

#: Timeout of the server, and how long its process is stopped.
IDLE_S = 0.4
STOPPED_S = 1.0

SERVER = f"""
import asyncio, time, uvloop
from toucanrudder.http1 import server

async def answers(request, answer):
    await answer.send_whole(200, (), b"ok")

async def main():
    limits = server.Limits(head_timeout_s={IDLE_S}, idle_timeout_s={IDLE_S})
    listener = server.Listener(server.Hooks(
        handle=answers, limits=lambda: limits, closing=lambda: False,
        refusal_body=lambda refusal: b"", refused=lambda refusal: None,
        clock=time.monotonic,
    ))
    await listener.start("127.0.0.1", 0)
    print(listener.address, flush=True)
    await asyncio.sleep(30)

with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
    runner.run(main())
"""

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.mark.parametrize("sent_before", [0, 16])
async def test_request_that_came_in_a_standstill_is_served(sent_before):
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", SERVER, stdout=asyncio.subprocess.PIPE
    )
    try:
        address = (await process.stdout.readline()).decode().strip()
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST)
        await reader.readuntil(b"ok")
        writer.write(REQUEST[:sent_before])
        await asyncio.sleep(IDLE_S / 4)
        process.send_signal(signal.SIGSTOP)
        # The process must have stopped before the bytes arrive.
        await asyncio.sleep(IDLE_S / 4)
        writer.write(REQUEST[sent_before:])
        await asyncio.sleep(STOPPED_S)
        process.send_signal(signal.SIGCONT)
        answer = await asyncio.wait_for(reader.readuntil(b"ok"), 5)
        assert answer.startswith(b"HTTP/1.1 200")
        writer.close()
    finally:
        process.kill()
        await process.wait()

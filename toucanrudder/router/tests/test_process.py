import os
import pathlib

from toucanrudder.testing import callers
from toucanrudder.testing import fleet as fleets

BODY = {"model": "demo", "prompt": "cue sheet", "max_tokens": 3}


def _open_files(pid):
    directory = pathlib.Path(f"/proc/{pid}/fd")
    return [os.readlink(path) for path in directory.iterdir()]


def _children(pid):
    tasks = pathlib.Path(f"/proc/{pid}/task").iterdir()
    return "".join((task / "children").read_text() for task in tasks)


async def test_a_serving_router_uses_no_io_uring_and_no_child():
    """The users' instances allow neither io_uring nor child processes, and
    libuv by default sets up io_uring when a loop starts.
    """
    async with fleets.running() as fleet:
        router = fleet.routers[0]
        answer = await callers.stream(fleet.session, router.url, BODY)
        assert answer.end is callers.End.DONE
        files = _open_files(router.process.pid)
        assert any("eventpoll" in name for name in files)
        assert not any("io_uring" in name for name in files)
        assert _children(router.process.pid) == ""

"""Tasks that outlive the request that started them."""

import asyncio
from collections.abc import Coroutine
import logging

LOG = logging.getLogger(__name__)


class Background:
    """Keeps references to tasks and logs their failures.

    The event loop keeps only weak references to tasks, so that a task
    without another reference may be garbage-collected before it ends.
    """

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run the coroutine as a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error("background task failed", exc_info=task.exception())

    async def drain(self, timeout_s: float) -> None:
        """Wait up to `timeout_s` for the tasks that are running now."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout_s)

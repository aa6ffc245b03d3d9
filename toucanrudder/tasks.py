"""Controllers as services of the daemon."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

import aiomisc

LOG = logging.getLogger(__name__)

#: Pause before a task that failed unexpectedly is started again.
RESTART_S = 1.0


class TaskService(aiomisc.Service):
    """Runs a controller for as long as the daemon lives.

    Parameters
    ----------
    run : callable
        Returns the controller's coroutine.
    label : str
        For log lines.
    """

    run: Callable[[], Awaitable[None]]
    label: str

    async def start(self) -> None:
        """Run the controller; start it again if it fails."""
        self.start_event.set()
        while True:
            try:
                await self.run()
            except asyncio.CancelledError:
                raise
            except BaseException:
                # A controller that ended would leave its table as it is,
                # unseen, for good.
                LOG.exception("%s failed; starting it again", self.label)
            await asyncio.sleep(RESTART_S)

"""Controllers as services of the daemon."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

import aiomisc

from toucanrudder.observability import decisions

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
            except BaseException as error:
                # A controller that ended would leave its table as it is,
                # unseen, for good.  A cancellation counts as the router's
                # stop only if it was meant for this task: whatever else
                # was cancelled inside ends in the same exception.
                if _is_meant_for_this_task(error):
                    raise
                LOG.exception("%s failed; starting it again", self.label)
                decisions.record(
                    decisions.ControllerEnded(
                        controller=self.label, error=repr(error)
                    )
                )
            await asyncio.sleep(RESTART_S)


def _is_meant_for_this_task(error: BaseException) -> bool:
    is_cancelled = isinstance(error, asyncio.CancelledError)
    return is_cancelled and asyncio.current_task().cancelling() > 0

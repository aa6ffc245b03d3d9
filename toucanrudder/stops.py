"""How the requests end that are open when a planned stop ends."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

from toucanrudder import errors

STEP = "stop"

#: Time in which the requests that are still open at the end are answered.
LAST_ANSWERS_S = 0.1


def stopping_error() -> errors.RudderError:
    """Return the refusal of a request that comes too late."""
    return errors.RudderError(
        errors.Code.STOPPING,
        "this router is stopping",
        step=STEP,
        retry_after_s=0.0,
    )


def cut_off_error(possible_runs: int) -> errors.RudderError:
    """Return the error of a request that is open when the stop ends.

    Parameters
    ----------
    possible_runs : int
        Upstreams that may have run it.
    """
    if not possible_runs:
        return stopping_error()
    return errors.RudderError(
        errors.Code.UPSTREAM_TIMEOUT,
        "this router stops before the upstream has answered",
        step=STEP,
        ran=errors.Ran.UNKNOWN,
    )


class StopLimits:
    """Ends the requests that are open when a planned stop ends.

    A caller whose connection just ends learns nothing, not even whether its
    request has run.
    """

    def __init__(self):
        self._limits: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def limited(
        self, error_of: Callable[[], errors.RudderError]
    ) -> AsyncIterator[Callable[[], None]]:
        """Let the block be ended by `end_all`.

        Parameters
        ----------
        error_of : callable
            Returns the error that is then raised.

        Yields
        ------
        callable
            Keeps the block from being ended, as its answer has begun.
        """
        limit = asyncio.timeout(None)
        self._limits.add(limit)
        try:
            async with limit:
                yield lambda: self._limits.discard(limit)
        except TimeoutError:
            if not limit.expired():
                raise
            raise error_of() from None
        finally:
            self._limits.discard(limit)

    async def end_all(self) -> None:
        """End all blocks, and let their callers have an answer."""
        now_s = asyncio.get_running_loop().time()
        for limit in self._limits:
            limit.reschedule(now_s)
        await asyncio.sleep(LAST_ANSWERS_S)

"""The bench's own processes: the source and the bare relay."""

from collections.abc import AsyncIterator
import contextlib

from aiohttp import web
import attrs
import fire

from toucanrudder.bench.relay import bare
from toucanrudder.bench.relay import source
from toucanrudder.standins import serving


@attrs.frozen
class _Part:
    address: str


@contextlib.asynccontextmanager
async def _opened(app: web.Application) -> AsyncIterator[_Part]:
    async with serving.served(app, "127.0.0.1", 0) as address:
        yield _Part(address)


def run_source() -> None:
    """Serve token events."""
    serving.run(lambda: _opened(source.application()), "source")


def run_bare(upstream: str) -> None:
    """Pass everything on to `upstream`, an IP:port, without a look at it."""
    serving.run(lambda: _opened(bare.application(upstream)), "bare")


if __name__ == "__main__":
    fire.Fire({"source": run_source, "bare": run_bare})

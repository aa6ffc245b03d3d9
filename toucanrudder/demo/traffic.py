"""What the demo's callers ask, and how each answer is judged."""

import asyncio
from collections.abc import Iterator
import json
import random
import time

import aiohttp
import attrs

from toucanrudder import messages
from toucanrudder.demo import system as systems
from toucanrudder.standins import output

CHAT = "/v1/chat/completions"
SEED = 7
REQUESTS = 90
AT_ONCE = 8
MAX_TOKENS = 12
BLOCK_BYTES = 8_000
PREAMBLE_BLOCKS = 2
PROJECT_BLOCKS = 4
PROJECTS = 3
CALL_TIMEOUT_S = 60.0


@attrs.frozen
class Asked:
    """One prompt: a preamble, a project below it, a question below that."""

    organisation: str
    priority: messages.Priority
    body: dict = attrs.field(repr=False)


@attrs.frozen
class Outcome:
    """What became of one prompt."""

    asked: Asked
    right: bool
    first_token_s: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    refusal: str = ""


def _text(label: str, blocks: int) -> str:
    line = f"{label}: general conditions apply. "
    return (line * (blocks * BLOCK_BYTES // len(line) + 1))[
        : blocks * BLOCK_BYTES
    ]


def prompts(system: systems.System) -> Iterator[Asked]:
    """Yield the prompts, the same in each run."""
    rng = random.Random(SEED)
    organisations = [each.name for each in system.document.organisations[:4]]
    for number in range(REQUESTS):
        organisation = rng.choice(organisations)
        project = rng.randrange(PROJECTS)
        yield Asked(
            organisation,
            rng.choice(list(messages.Priority)),
            {
                "model": system.document.models[0].name,
                "max_tokens": MAX_TOKENS,
                "stream": True,
                "messages": [
                    {
                        "role": "system",
                        "content": _text(organisation, PREAMBLE_BLOCKS)
                        + _text(f"project {project}", PROJECT_BLOCKS),
                    },
                    {"role": "user", "content": f"Question {number}?"},
                ],
            },
        )


def _headers(system: systems.System, asked: Asked) -> dict[str, str]:
    return {
        "Authorization": f"Bearer {system.api_key(asked.organisation)}",
        "X-Priority": asked.priority.label,
    }


@attrs.define
class _Reading:
    began_s: float
    first_token_s: float = 0.0
    text: str = ""
    usage: dict = attrs.field(factory=dict)
    done: bool = False

    def line(self, line: bytes) -> None:
        if not line.startswith(b"data: "):
            return
        if line.strip() == b"data: [DONE]":
            self.done = True
            return
        chunk = json.loads(line[6:])
        self.usage = chunk.get("usage") or self.usage
        for choice in chunk.get("choices", ()):
            piece = choice["delta"].get("content") or ""
            if piece and not self.text:
                self.first_token_s = time.monotonic() - self.began_s
            self.text += piece


async def ask(
    session: aiohttp.ClientSession,
    system: systems.System,
    router: systems.Router,
    asked: Asked,
    on_piece=None,
) -> Outcome:
    """Send one prompt and judge its answer.

    Parameters
    ----------
    session : aiohttp.ClientSession
        For the call.
    system, router
        Where to.
    asked : Asked
        The prompt.
    on_piece : callable, optional
        Called with the text whenever it has grown.
    """
    reading = _Reading(time.monotonic())
    async with session.post(
        router.base_url + CHAT,
        json=asked.body,
        headers=_headers(system, asked),
        timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
    ) as response:
        if response.status != 200:
            error = (await response.json())["error"]
            return Outcome(asked, False, refusal=error["code"])
        async for line in response.content:
            reading.line(line)
            if on_piece is not None:
                on_piece(reading.text)
    details = reading.usage.get("prompt_tokens_details") or {}
    return Outcome(
        asked,
        reading.done
        and reading.text == output.expected_text(CHAT, asked.body),
        reading.first_token_s,
        reading.usage.get("prompt_tokens", 0),
        details.get("cached_tokens", 0),
    )


async def ask_all(
    session: aiohttp.ClientSession, system: systems.System
) -> list[Outcome]:
    """Send all prompts, some at once, over the routers in turn."""
    places = asyncio.Semaphore(AT_ONCE)

    async def one(number: int, asked: Asked) -> Outcome:
        router = system.routers[number % len(system.routers)]
        async with places:
            return await ask(session, system, router, asked)

    return await asyncio.gather(
        *(one(n, asked) for n, asked in enumerate(prompts(system)))
    )


@attrs.frozen
class Booking:
    """What one of two equal bookings got."""

    router: str
    status: int
    body: str


async def book_twice(
    session: aiohttp.ClientSession, system: systems.System
) -> list[Booking]:
    """Send one booking twice, the second time to another router."""
    organisation = system.document.organisations[0].name
    service = system.document.services[0].name
    bookings = []
    for router in system.routers[:2]:
        async with session.post(
            f"{router.base_url}/services/{service}/bookings",
            json={"room": "studio 1", "at": "10:00"},
            headers={
                "Authorization": f"Bearer {system.api_key(organisation)}",
                "Idempotency-Key": "booking-1",
            },
        ) as response:
            bookings.append(
                Booking(router.name, response.status, await response.text())
            )
    return bookings

"""The callers: they send the workload and read the answers.

Requests are sent at their due times, however long others take, as users
do; a slow system is not spared.  Times count from the due moment.
"""

import asyncio
from collections.abc import Iterator
import hashlib
import json
import random
import time

import aiohttp
import attrs

from toucanrudder.bench import deployments
from toucanrudder.bench import fates
from toucanrudder.bench import systems
from toucanrudder.bench import workload
from toucanrudder.standins import output

CHAT = output.CHAT
ANSWER_TIMEOUT_S = 40.0
# A caller whose connection fails asks the balancer for another router; the
# balancer knows the live ones.
SENDS = 4
PAUSE_S = 0.1


@attrs.define
class _Stream:
    """What a caller has read of one streamed answer."""

    events: int = 0
    text: list[str] = attrs.field(factory=list)
    token: str = ""
    done: bool = False
    failed: str = ""
    first_at_s: float | None = None

    def take(self, number: int, kind: str, data: str, now_s: float) -> None:
        if kind == "error":
            self.failed = _code(data)
            return
        if number and number <= self.events:
            return
        self.events = number or self.events
        if data == output.DONE:
            self.done = True
            return
        for choice in json.loads(data).get("choices", ()):
            piece = choice["delta"].get("content")
            if piece and self.first_at_s is None:
                self.first_at_s = now_s
            self.text.append(piece or "")


@attrs.define
class Callers:
    """Sends one workload.

    Parameters
    ----------
    system : systems.System
        Where to.
    load : workload.Workload
        What.
    session : aiohttp.ClientSession
        For the calls.
    """

    system: systems.System
    load: workload.Workload
    session: aiohttp.ClientSession
    outcomes: list[fates.Outcome] = attrs.field(factory=list)
    prompts: dict[str, workload.Prompt] = attrs.field(factory=dict)
    _began_s: float = 0.0

    async def run(self) -> None:
        """Send everything; return when each request has ended."""
        self._began_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for ask in self.load.asks:
                await asyncio.sleep(self._began_s + ask.at_s - _now_s())
                outcome = fates.Outcome(ask)
                self.outcomes.append(outcome)
                group.create_task(self._ended(outcome))

    async def _ended(self, outcome: fates.Outcome) -> None:
        send = self._ask
        if isinstance(outcome.ask, workload.ServiceAsk):
            send = self._call
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await send(outcome)
        except TimeoutError:
            outcome.code = "timeout"
        outcome.finished_at_s = _now_s() - self._began_s

    def _routers(self, ask) -> Iterator[systems.Instance]:
        """Yield the router that the balancer picks for each send."""
        rng = random.Random(ask.router)
        routers = self.system.routers
        for _send in range(SENDS):
            yield rng.choice([each for each in routers if each.alive])

    async def _ask(self, outcome: fates.Outcome) -> None:
        ask = outcome.ask
        body = self._body(ask)
        stream = _Stream()
        for router in self._routers(ask):
            try:
                await self._attempt(router, ask, body, stream, outcome)
            except (aiohttp.ClientError, ConnectionError):
                await asyncio.sleep(PAUSE_S)
                continue
            break
        if outcome.fate is not fates.Fate.REFUSED:
            self._judge(outcome, body, stream)

    def _body(self, ask: workload.ModelAsk) -> dict:
        messages = self.load.messages(ask.prompt)
        body = {
            "model": deployments.MODEL,
            "stream": True,
            "max_tokens": ask.answer_tokens,
            "messages": messages,
        }
        text = output.canonical_text(CHAT, body)
        digest = hashlib.sha256(text.encode()).hexdigest()
        self.prompts[digest] = ask.prompt
        return body

    async def _attempt(self, router, ask, body, stream, outcome) -> None:
        if stream.token and stream.events:
            url = f"{router.url}/v1/streams/{stream.token}"
            headers = {"Last-Event-ID": str(stream.events)}
            request = self.session.get(url, headers=headers | _key(ask))
        else:
            stream.events, stream.text = 0, []
            headers = {"X-Priority": ask.priority.label}
            request = self.session.post(
                router.url + CHAT, json=body, headers=headers | _key(ask)
            )
        async with request as response:
            if response.status != 200:
                outcome.fate = fates.Fate.REFUSED
                outcome.code = _code(await response.text())
                return
            stream.token = response.headers.get("X-Resume-Token", "")
            await _read(response, stream)
        if not stream.done and not stream.failed:
            raise aiohttp.ClientPayloadError("the stream ended early")

    def _judge(self, outcome, body, stream: _Stream) -> None:
        if stream.first_at_s is not None:
            due_s = self._began_s + outcome.ask.at_s
            outcome.first_token_s = stream.first_at_s - due_s
        whole = "".join(stream.text) == output.expected_text(CHAT, body)
        if stream.done and whole:
            outcome.fate = fates.Fate.ANSWERED
        elif stream.events:
            outcome.fate = fates.Fate.CUT
        elif stream.failed:
            outcome.fate = fates.Fate.REFUSED
        outcome.code = stream.failed

    async def _call(self, outcome: fates.Outcome) -> None:
        ask = outcome.ask
        service = self.system.deployment.service
        headers = _key(ask) | {"Idempotency-Key": ask.key}
        for router in self._routers(ask):
            try:
                async with self.session.post(
                    f"{router.url}/services/{service}/calls",
                    json={"key": ask.key},
                    headers=headers,
                ) as response:
                    text = await response.text()
            except (aiohttp.ClientError, ConnectionError):
                await asyncio.sleep(PAUSE_S)
                continue
            good = response.status == 200
            outcome.fate = fates.Fate.ANSWERED if good else fates.Fate.REFUSED
            outcome.code = "" if good else _code(text)
            return


async def _read(response: aiohttp.ClientResponse, stream: _Stream) -> None:
    number, kind = 0, ""
    async for raw in response.content:
        line = raw.decode().rstrip("\r\n")
        field, _, value = line.partition(": ")
        if field == "id":
            number = int(value)
        elif field == "event":
            kind = value
        elif field == "data":
            stream.take(number, kind, value, _now_s())
            number, kind = 0, ""


def _key(ask: workload.ModelAsk | workload.ServiceAsk) -> dict[str, str]:
    organisation = (
        ask.organisation
        if isinstance(ask, workload.ServiceAsk)
        else ask.prompt.organisation
    )
    return {"Authorization": f"Bearer {deployments.api_key(organisation)}"}


def _code(text: str) -> str:
    try:
        return str(json.loads(text)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return "unknown"


def _now_s() -> float:
    return time.monotonic()

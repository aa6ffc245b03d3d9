"""Secrecy of the log: no keys, tokens or prompts."""

import contextlib
import json

import aiohttp
import attrs
import pytest

from toucanrudder.bench.capacity import daemons
from toucanrudder.document import model
from toucanrudder.testing import control
from toucanrudder.testing import processes

PROMPT = "a-prompt-that-nobody-may-read"
KEY = daemons.KEY
WRONG_KEY = "a-key-that-is-not-known"
FLEET_KEY = "a-fleet-key-of-this-test"
TOKEN = "an-operator-token-of-this-test"
IDEMPOTENCY_KEY = "a-customers-name-in-a-key"
SECRETS = (PROMPT, KEY, WRONG_KEY, FLEET_KEY, TOKEN, IDEMPOTENCY_KEY)

SETTINGS = f"""
[router]
name = r1
zone = z1
port = 0
admin_port = 0
peer_port = 0
fleet_key = {FLEET_KEY}
[store]
address = {{store}}
[admin]
token = {TOKEN}
[logging]
format = json
level = debug
"""


def completion(**changes: object) -> dict:
    return {"model": "demo", "prompt": PROMPT, "max_tokens": 2, **changes}


# path, body, key
CALLS = [
    ("/v1/completions", completion(), KEY),
    ("/v1/completions", completion(stream=True), KEY),
    ("/v1/completions", completion(model=PROMPT), KEY),
    ("/v1/completions", completion(max_tokens=PROMPT), KEY),
    ("/v1/completions", completion(), WRONG_KEY),
    (f"/v1/nowhere/{PROMPT}", completion(), KEY),
    (f"/services/desk/bookings?q={PROMPT}", completion(), KEY),
    (f"/services/gone/{PROMPT}", completion(), KEY),
]


def document(engine: str, service: str) -> model.Document:
    base = daemons.document([engine])
    return attrs.evolve(
        base,
        models=(model.Model("demo", "w1"),),
        upstreams=(
            attrs.evolve(base.upstreams[0], models=("demo",)),
            model.Upstream("s1", model.SERVICE, service, "z1", "desk"),
        ),
        services=(model.Service("desk", (model.Route("POST", "/", False),)),),
    )


@contextlib.asynccontextmanager
async def system(tmp_path):
    async with (
        processes.standin("platform") as platform,
        processes.standin("engine") as engine,
        processes.standin("service") as service,
    ):
        await daemons.put_document(
            platform.address, document(engine.address, service.address)
        )
        path = tmp_path / "router.ini"
        path.write_text(SETTINGS.format(store=platform.address))
        async with processes.started("router", str(path)) as router:
            yield router, engine


async def call(session, router, path, body, key):
    headers = {
        "Authorization": f"Bearer {key}",
        "Idempotency-Key": IDEMPOTENCY_KEY,
    }
    url = router.url + path
    async with session.post(url, json=body, headers=headers) as answer:
        await answer.read()
        return answer.status


async def until_ready(session, router):
    async def ready() -> bool:
        async with session.get(f"{router.url}/readyz") as answer:
            return answer.status == 200

    await control.until(ready)


async def test_secrets_and_prompts_are_never_logged(tmp_path):
    """No log line holds a prompt, a key or a token, even at debug level.

    People who may not see prompts read the logs.  Callers send valid,
    invalid and refused requests, an operator tries to drain an upstream,
    and the engine is killed before the last request.  Refusals are logged
    with their codes.
    """
    async with (
        system(tmp_path) as (router, engine),
        aiohttp.ClientSession() as session,
    ):
        await until_ready(session, router)
        statuses = [
            await call(session, router, *arguments) for arguments in CALLS
        ]
        admin = f"http://{router.ready['admin_address']}"
        for token in (TOKEN, WRONG_KEY):
            headers = {"Authorization": f"Bearer {token}"}
            async with session.post(
                f"{admin}/upstreams/s1/drain", headers=headers
            ) as answer:
                statuses.append(answer.status)
        await engine.kill()
        statuses.append(await call(session, router, *CALLS[0]))
        await router.stop()
        log = router.stderr()
    assert statuses[:2] == [200, 200]
    assert all(status >= 400 for status in statuses[2:6])
    for secret in SECRETS:
        assert secret not in log
    lines = [json.loads(line) for line in log.splitlines()]
    codes = {line.get("code") for line in lines}
    assert {"unauthorized", "unknown_model"} <= codes
    assert any(line["name"] == "toucanrudder.audit" for line in lines)
    assert all("asctime" in line for line in lines)


@pytest.mark.parametrize("secret", ["fleet_key", "token"])
def test_secret_options_are_marked_secret(secret):
    from toucanrudder.settings import options

    marked = {
        option.dest
        for group in options.GROUPS.values()
        for option in group
        if option.secret
    }
    assert secret in marked

import asyncio
import json
import logging

from aiohttp import test_utils
import attrs
import jsonschema
import pytest

from toucanrudder import errors
from toucanrudder.admin import application
from toucanrudder.admin import openapi
from toucanrudder.admin import operations
from toucanrudder.admin import schemas
from toucanrudder.admin import state
from toucanrudder.admin import status
from toucanrudder.document import model
from toucanrudder.document import serialisation
from toucanrudder.document import validation

TOKEN = "an-operator's-token"
AUTHORISED = {"Authorization": f"Bearer {TOKEN}", "X-Operator": "anna"}
DOCUMENT = model.Document(
    organisations=(model.Organisation("weld", ("a" * 64,)),),
    models=(model.Model("small", "w1"),),
    upstreams=(
        model.Upstream(
            "e1", "engine", "127.0.0.1:7001", "z1", "llm", ("small",)
        ),
    ),
)


class Controller:
    """In-memory replacement for the configuration controller.

    Each of `concurrent_documents` comes from another operator and takes
    effect immediately before the next write.
    """

    def __init__(self, document: model.Document | None) -> None:
        self.current = None
        self.concurrent_documents: list[model.Document] = []
        self.is_down = False
        if document:
            self._accept(document, "setup")

    def _accept(self, document: model.Document, author: str) -> None:
        generation = self.current.generation + 1 if self.current else 1
        self.current = model.Accepted(generation, "id", author, document)

    async def apply(
        self, data: dict, expected: int, author: str
    ) -> model.Accepted:
        document = validation.parse(data)
        if self.is_down:
            raise errors.RudderError(
                errors.Code.STORE_UNAVAILABLE,
                "the store is unreachable",
                step="configuration",
                retry_after_s=2.0,
            )
        if self.concurrent_documents:
            self._accept(self.concurrent_documents.pop(0), "bert")
        generation = self.current.generation if self.current else 0
        if generation != expected:
            raise errors.RudderError(
                errors.Code.CONFIG_CONFLICT,
                f"generation {generation} by {self.current.author} is in "
                f"force, not {expected}",
                step="configuration",
            )
        self._accept(document, author)
        return self.current


@pytest.fixture
def controller():
    return Controller(DOCUMENT)


@pytest.fixture
async def client(controller):
    async def release(fingerprint: str) -> bool:
        return fingerprint == "f00"

    async def leases() -> tuple:
        if controller.is_down:
            await asyncio.Event().wait()
        return (status.LeaseStatus("weights.small", "r1", 4),)

    async def claims() -> tuple:
        if controller.is_down:
            raise errors.RudderError(
                errors.Code.STORE_UNAVAILABLE, "unreachable", step="claims"
            )
        return (status.ClaimStatus("weld", "b" * 64, "r1", 3.0),)

    providers = state.State(
        router="r1",
        token=TOKEN,
        current=lambda: controller.current,
        apply=controller.apply,
        routers=lambda: [status.RouterStatus("r1", "z1", "127.0.0.1:1", 1)],
        upstreams=lambda: [
            status.UpstreamStatus("e1", "engine", "z1", "live")
        ],
        leases=leases,
        quarantined=lambda: [status.QuarantineStatus("f00", 2, 60.0)],
        unknown_claims=claims,
        release=release,
    )
    server = test_utils.TestServer(application.build(providers))
    async with test_utils.TestClient(server) as client:
        yield client


def changed(**fields: object) -> dict:
    return serialisation.to_json(attrs.evolve(DOCUMENT, **fields))


def apply_body(generation: object = 1) -> dict:
    document = changed(models=(model.Model("small", "w2"),))
    return {"expected_generation": generation, "document": document}


BROKEN = changed(upstreams=())
BROKEN["organisations"][0]["weight"] = "heavy"
BROKEN["organisations"][0]["models"] = ["missing"]

# method, path, body, status, text contained in the response
CALLS = [
    ("GET", "/healthz", None, 200, "true"),
    ("GET", "/metrics", None, 200, "# HELP"),
    ("GET", "/schema", None, 200, "properties"),
    ("GET", "/status", None, 200, "weights.small"),
    ("GET", "/configuration", None, 200, '"generation": 1'),
    ("POST", "/validate", changed(), 200, '"valid": true'),
    ("POST", "/validate", BROKEN, 200, "weight"),
    ("POST", "/validate", "no object", 400, "invalid_request"),
    ("POST", "/diff", changed(), 200, '"changes": []'),
    ("POST", "/diff", changed(models=()), 422, "config_invalid"),
    ("POST", "/diff", BROKEN, 422, "problems"),
    ("POST", "/apply", apply_body(), 200, '"generation": 2'),
    ("POST", "/apply", apply_body(0), 409, "generation 1 by setup"),
    ("POST", "/apply", apply_body("1"), 400, "expected_generation"),
    ("POST", "/apply", apply_body(True), 400, "expected_generation"),
    ("POST", "/apply", {"document": {}}, 400, "expected_generation"),
    ("POST", "/upstreams/e1/drain", None, 200, '"drained": true'),
    ("POST", "/upstreams/e1/undrain", None, 200, '"generation": 1'),
    ("POST", "/upstreams/e9/drain", None, 404, "e9"),
    ("DELETE", "/quarantine/f00", None, 200, "f00"),
    ("DELETE", "/quarantine/f01", None, 404, "not_found"),
    ("GET", "/nowhere", None, 404, "not_found"),
]


@pytest.mark.parametrize(
    ("method", "path", "body", "expected_status", "expected_text"), CALLS
)
async def test_calls_return_the_expected_status_and_text(
    client, method, path, body, expected_status, expected_text
):
    response = await client.request(
        method, path, json=body, headers=AUTHORISED
    )
    text = await response.text()
    assert response.status == expected_status, text
    assert expected_text in text
    if expected_status >= 400:
        jsonschema.validate(json.loads(text), schemas.ERROR)


async def test_validate_lists_all_problems_with_paths(client):
    response = await client.post("/validate", json=BROKEN, headers=AUTHORISED)
    body = await response.json()
    jsonschema.validate(body, schemas.VALIDATION_RESULT)
    assert not body["valid"]
    assert all(problem["path"] for problem in body["problems"])


@pytest.mark.parametrize("operation", operations.OPERATIONS)
async def test_only_public_pages_are_served_without_the_token(
    client, operation
):
    path = operation.path.format(name="e1", fingerprint="f00")
    for headers in ({}, {"Authorization": "Bearer wrong"}):
        response = await client.request(
            operation.method, path, headers=headers
        )
        description = openapi.document()["paths"][operation.path]
        public = not description[operation.method.lower()]["security"]
        assert response.status == (200 if public else 401)


async def test_an_empty_token_refuses_every_change(controller):
    providers = state.State(
        router="r1",
        token="",
        current=lambda: controller.current,
        apply=controller.apply,
    )
    server = test_utils.TestServer(application.build(providers))
    async with test_utils.TestClient(server) as client:
        response = await client.post(
            "/upstreams/e1/drain", headers={"Authorization": "Bearer "}
        )
        assert response.status == 401


async def test_openapi_lists_exactly_the_routes(client):
    response = await client.get("/openapi.json")
    description = await response.json()
    routes = {
        (route.method, route.resource.canonical)
        for route in client.app.router.routes()
        if route.method != "HEAD"
    }
    described_routes = {
        (method.upper(), path)
        for path, calls in description["paths"].items()
        for method in calls
    }
    assert described_routes == routes - {("GET", "/openapi.json")}


@pytest.mark.parametrize(
    ("method", "path", "body", "expected_status", "expected_text"),
    [call for call in CALLS if call[3] == 200 and call[1] != "/metrics"],
)
async def test_responses_match_their_schema(
    client, method, path, body, expected_status, expected_text
):
    response = await client.request(
        method, path, json=body, headers=AUTHORISED
    )
    template = path.replace("e1", "{name}").replace("f00", "{fingerprint}")
    description = openapi.document()["paths"][template][method.lower()]
    content = description["responses"]["200"]["content"]["application/json"]
    jsonschema.validate(await response.json(), content["schema"])


async def test_drain_is_retried_after_a_concurrent_change(client, controller):
    """Test a drain during another operator's change.

    The other operator's document takes effect between the drain's read
    and its write.  The drain must not undo that change, and is retried on
    the new document without a second call.
    """
    controller.concurrent_documents.append(
        attrs.evolve(DOCUMENT, models=(model.Model("small", "w2"),))
    )
    response = await client.post("/upstreams/e1/drain", headers=AUTHORISED)
    assert response.status == 200
    document = controller.current.document
    assert document.models[0].weights_version == "w2"
    assert document.upstreams[0].drained


async def test_status_is_served_during_a_store_outage(client, controller):
    controller.is_down = True
    response = await client.get("/status", headers=AUTHORISED)
    body = await response.json()
    assert response.status == 200
    assert body["unavailable"] == ["leases", "unknown_claims"]
    assert body["quarantined"]
    response = await client.post(
        "/apply", json=apply_body(), headers=AUTHORISED
    )
    assert response.status == 503
    assert response.headers["Retry-After"] == "2"


CHANGES = [
    ("POST", "/apply", apply_body(), "apply", 2, "done"),
    ("POST", "/apply", apply_body(7), "apply", 1, "config_conflict"),
    ("POST", "/upstreams/e1/drain", None, "drain e1", 2, "done"),
    ("POST", "/upstreams/e9/drain", None, "drain e9", 1, "not_found"),
    ("DELETE", "/quarantine/f00", None, "release f00", 1, "done"),
]


@pytest.mark.parametrize(
    ("method", "path", "body", "change", "generation", "outcome"), CHANGES
)
async def test_each_change_leaves_an_audit_line(
    client, caplog, method, path, body, change, generation, outcome
):
    with caplog.at_level(logging.INFO, logger="toucanrudder.audit"):
        await client.request(method, path, json=body, headers=AUTHORISED)
    (line,) = (r for r in caplog.records if r.name == "toucanrudder.audit")
    assert (line.author, line.change) == ("anna", change)
    assert (line.generation, line.outcome) == (generation, outcome)
    assert TOKEN not in line.getMessage()
    assert "a" * 64 not in line.getMessage()


@pytest.mark.parametrize("name", ["x" * 200, "a\u0085b"])
async def test_invalid_operator_name_is_rejected(client, name):
    headers = {**AUTHORISED, "X-Operator": name}
    response = await client.post("/upstreams/e1/drain", headers=headers)
    assert response.status == 400
    assert "bad_header" in await response.text()

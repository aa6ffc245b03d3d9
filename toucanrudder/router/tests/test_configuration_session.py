"""A session of two operators, compared with a golden file."""

import copy
import json
import re

import pytest
from syrupy.extensions import json as syrupy_json

from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets
from toucanrudder.testing import processes

APPLY_ID = re.compile(r"[0-9a-f]{32}")


@pytest.fixture
def golden(snapshot):
    return snapshot.use_extension(syrupy_json.JSONSnapshotExtension)


def example():
    path = processes.ROOT / "examples" / "demo.json"
    return json.loads(path.read_text(encoding="utf-8"))


def document_with_invalid_references():
    document = copy.deepcopy(example())
    document["upstreams"][1]["address"] = "engine-2:80"
    document["upstreams"][2]["name"] = "engine-1"
    document["organisations"][0]["models"] = ["unknown"]
    return document


def document_with_invalid_fields():
    document = copy.deepcopy(example())
    document["policy"]["retry_ration"] = 0.5
    document["organisations"][2]["weight"] = 0
    return document


class Session:
    """Log of the operators' calls and answers, with apply_ids masked."""

    def __init__(self, fleet):
        self.fleet, self.entries = fleet, []

    async def apply(self, index, name, document, expected):
        operator = control.Operator(
            self.fleet.session, self.fleet.routers[index], name
        )
        status, body = await operator.apply(document, expected)
        self.entries.append(
            {
                "operator": name,
                "router": self.fleet.routers[index].name,
                "expected_generation": expected,
                "status": status,
                "answer": json.loads(APPLY_ID.sub("*", json.dumps(body))),
            }
        )

    async def log_generations(self):
        generations = {}
        for router in self.fleet.routers:
            operator = control.Operator(self.fleet.session, router)
            current = await operator.get("/configuration")
            generations[router.name] = [
                current["generation"],
                current["author"],
            ]
        self.entries.append({"in force": generations})


async def test_a_session_of_two_operators(golden):
    """Check every answer that two operators get in a session.

    Two invalid documents are refused with all their problems.  A valid one
    is applied, and the other operator's, based on the old generation, is
    refused.  The store's answer to the next write is lost, and the write is
    confirmed by reading it back.  With the store down nothing changes.
    """
    plan = fleets.Plan(routers=2)
    async with fleets.running(plan) as fleet:
        session = Session(fleet)
        await session.log_generations()
        await session.apply(0, "ann", document_with_invalid_fields(), 1)
        await session.apply(0, "ann", document_with_invalid_references(), 1)
        await session.apply(0, "ann", example(), 1)
        await control.all_at(fleet, 2)
        await session.apply(1, "bob", fleet.document(), 1)
        await session.log_generations()
        await fleet.put_faults(
            "platform", mode="lose_answers", kind="configuration", times=1
        )
        await session.apply(1, "bob", control.changed(example(), 9), 2)
        await control.all_at(fleet, 3)
        await fleet.put_faults("platform", mode="down")
        await session.apply(0, "ann", example(), 3)
        await session.log_generations()
        assert session.entries == golden

"""A whole session of two operators, against a golden file."""

import copy
import json
import re

import pytest
from syrupy.extensions import json as syrupy_json

from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets
from toucanrudder.testing import processes

IDENTITY = re.compile(r"[0-9a-f]{32}")


@pytest.fixture
def golden(snapshot):
    return snapshot.use_extension(syrupy_json.JSONSnapshotExtension)


def example():
    path = processes.ROOT / "examples" / "demo.json"
    return json.loads(path.read_text(encoding="utf-8"))


def broken():
    document = copy.deepcopy(example())
    document["upstreams"][1]["address"] = "engine-2:80"
    document["upstreams"][2]["name"] = "engine-1"
    document["organisations"][0]["models"] = ["unknown"]
    return document


def misspelt():
    document = copy.deepcopy(example())
    document["policy"]["retry_ration"] = 0.5
    document["organisations"][2]["weight"] = 0
    return document


class Session:
    """Calls of operators with their answers, identities masked."""

    def __init__(self, fleet):
        self.fleet, self.lines = fleet, []

    async def apply(self, index, name, document, expected):
        operator = control.Operator(
            self.fleet.session, self.fleet.routers[index], name
        )
        status, body = await operator.apply(document, expected)
        self.lines.append(
            {
                "operator": name,
                "router": self.fleet.routers[index].name,
                "expected_generation": expected,
                "status": status,
                "answer": json.loads(IDENTITY.sub("*", json.dumps(body))),
            }
        )

    async def in_force(self):
        generations = {}
        for router in self.fleet.routers:
            operator = control.Operator(self.fleet.session, router)
            found = await operator.get("/configuration")
            generations[router.name] = [found["generation"], found["author"]]
        self.lines.append({"in force": generations})


async def test_a_session_of_two_operators(golden):
    """What both see, from mistakes over a race to an outage.

    Two documents are refused with everything wrong in them.  One is
    applied, the other operator's comes too late.  An answer is lost and
    settled; with the store down nothing is changed.
    """
    plan = fleets.Plan(routers=2)
    async with fleets.running(plan) as fleet:
        session = Session(fleet)
        await session.in_force()
        await session.apply(0, "ann", misspelt(), 1)
        await session.apply(0, "ann", broken(), 1)
        await session.apply(0, "ann", example(), 1)
        await control.all_at(fleet, 2)
        await session.apply(1, "bob", fleet.document(), 1)
        await session.in_force()
        await fleet.put_faults(
            "platform", mode="lose_answers", kind="configuration", times=1
        )
        await session.apply(1, "bob", control.changed(example(), 9), 2)
        await control.all_at(fleet, 3)
        await fleet.put_faults("platform", mode="down")
        await session.apply(0, "ann", example(), 3)
        await session.in_force()
        assert session.lines == golden

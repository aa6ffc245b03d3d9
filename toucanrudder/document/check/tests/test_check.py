import copy
import json
import pathlib
import random
import sys
import types

import pytest

from toucanrudder.bench import deployments
from toucanrudder.bench import systems
from toucanrudder.bench.capacity import synthetic
from toucanrudder.document import check
from toucanrudder.document import model
from toucanrudder.document import routes
from toucanrudder.document import serialisation
from toucanrudder.document import validation
from toucanrudder.document.check import reachability
from toucanrudder.document.check import route_changes
from toucanrudder.testing import fleet as fleets

EXAMPLES = sorted(pathlib.Path(__file__).parents[4].glob("examples/*.json"))
DEMO = json.loads(EXAMPLES[0].with_name("demo.json").read_text())
CASES = pathlib.Path(__file__).with_name("cases.txt")


def edited(edits):
    data = copy.deepcopy(DEMO)
    for path, value in edits.items():
        *parts, last = path.split(".")
        target = data
        for part in parts:
            target = target[int(part) if part.isdigit() else part]
        if isinstance(target, list):
            index = int(last)
            target[index : index + 1] = [] if value is None else [value]
        else:
            target[last] = value
    return data


def cases():
    """Yield the edits of each case and the findings they lead to."""
    for block in CASES.read_text().split("\n\n"):
        lines = block.strip().splitlines()
        edits = [line for line in lines if not line.startswith(" ")]
        found = lines[len(edits) :]
        yield pytest.param(
            {
                path: json.loads(value)
                for path, value in (edit.split(" = ", 1) for edit in edits)
            },
            [line.strip() for line in found],
            id=edits[0],
        )


def texts(found):
    for each in found:
        kinds = f"{each.severity.value} {each.kind.value}"
        yield f"{kinds} {each.path}: {each.message}"
        if each.right:
            yield f"right: {each.right}"


@pytest.mark.parametrize(("edits", "expected"), cases())
def test_findings_of_an_edited_document(edits, expected):
    found = check.check(edited(edits), validation.parse(DEMO))
    assert list(texts(found)) == expected


def test_another_order_of_entries_is_no_change():
    names = ["demo-model", "spare"]
    spare = {"name": "spare", "weights_version": "v1"}
    old = edited({"models.1": spare, "upstreams.0.models": names})
    new = {
        kind: value[::-1] if isinstance(value, list) else value
        for kind, value in old.items()
    }
    new["upstreams"][-1] = old["upstreams"][0] | {"models": names[::-1]}
    assert check.check(new, validation.parse(old)) == ()


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_nothing_is_found_in_examples(path):
    data = json.loads(path.read_text())
    assert check.check(data, validation.parse(data)) == ()


def fleet_document():
    names = ["engine-0", "engine-1", "service-0"]
    fleet = fleets.Fleet(
        fleets.Plan(services=1),
        session=None,
        stack=None,
        directory=None,
        proxies={
            name: types.SimpleNamespace(address=f"10.0.0.1:{index + 1}")
            for index, name in enumerate(names)
        },
    )
    return fleet.document()


BENCHES = [
    systems.document(each, ["10.0.0.1:1", "10.0.0.2:1"], ["10.0.0.3:1"])
    for each in deployments.DEPLOYMENTS.values()
]


@pytest.mark.parametrize(
    "data",
    [
        fleet_document(),
        *map(serialisation.to_json, [synthetic.document(100), *BENCHES]),
    ],
)
def test_nothing_is_found_in_documents_of_tests_and_benches(data):
    assert check.check(data, validation.parse(data)) == ()


JUNK = [
    None,
    True,
    -1,
    0,
    1e308,
    float("nan"),
    10**400,
    "",
    "\ud800",
    "a" * 99,
]
JUNK += ["/", "/../", "urgent", "demo-model", "desk", "*", [], {}, [[]], [7]]


def places(value):
    """Yield each container of the value with each of its keys."""
    if isinstance(value, dict | list):
        keys = list(value) if isinstance(value, dict) else range(len(value))
        for key in keys:
            yield value, key
            yield from places(value[key])


def disturb(data, rng):
    """Change a place in a way that often leaves the document valid."""
    target, key = rng.choice(list(places(data)))
    value = target[key]
    if isinstance(value, bool):
        target[key] = not value
    elif isinstance(value, int | float):
        target[key] = value * rng.choice([0.25, 0.5, 2, 16])
    elif isinstance(value, list):
        target[key] = rng.sample(value, rng.randint(0, len(value)))
    elif rng.random() < 0.5:
        del target[key]


def break_up(data, rng):
    """Put something of another form in a place."""
    target, key = rng.choice(list(places(data)))
    other, other_key = rng.choice(list(places(data)))
    value = rng.choice([*JUNK, other[other_key]])
    target[key] = copy.deepcopy(value)


@pytest.mark.parametrize("mutate", [disturb, break_up])
@pytest.mark.parametrize("seed", range(200))
def test_any_mutation_ends_in_findings(seed, mutate):
    rng = random.Random(seed)
    data = copy.deepcopy(DEMO)
    for _ in range(rng.randint(1, 6)):
        mutate(data, rng)
    found = check.check(data, validation.parse(DEMO))
    json.dumps([finding.as_json() for finding in found])
    errors = [f for f in found if f.severity is check.Severity.ERROR]
    try:
        document = validation.parse(data)
    except validation.DocumentInvalid:
        assert errors == list(found) != []
    else:
        assert not errors
        against_itself = check.check(data, document)
        assert all(
            f.severity is check.Severity.WARNING for f in against_itself
        )


def test_a_document_nested_too_deeply_is_a_finding():
    data = copy.deepcopy(DEMO)
    for _ in range(sys.getrecursionlimit()):
        data["models"] = [data["models"]]
    (finding,) = check.check(data)
    assert (finding.path, finding.message) == ("$", "is nested too deeply")


PREFIXES = ["/", "//", "/a", "/a/", "/a//", "/a/b", "/a/b/", "/ab", "/b"]
PATHS = [*PREFIXES, "/a/c", "/a//c", "/a/b/c", "/ab/c", "/c", "/b/c", "//c"]


def random_service(rng):
    return model.Service(
        "s",
        tuple(
            model.Route(
                rng.choice(["*", "GET", "POST"]),
                rng.choice(PREFIXES),
                rng.random() < 0.5,
            )
            for _ in range(rng.randint(0, 5))
        ),
    )


def answers(service):
    return [
        routes.is_repeatable(service, method, path)
        for method in route_changes.METHODS
        for path in PATHS
    ]


def taken(entry):
    return {
        (method, path)
        for method in route_changes.METHODS
        for path in PATHS
        if entry.method in ("*", method)
        and routes.is_under_prefix(entry.path_prefix, path)
    }


@pytest.mark.parametrize("seed", range(100))
def test_unreachable_and_changed_routes_agree_with_all_paths(seed):
    rng = random.Random(seed)
    old, new = random_service(rng), random_service(rng)
    is_changed = answers(old) != answers(new)
    assert bool(list(route_changes.find(old, new))) is is_changed
    found = reachability.find(model.Document(services=(new,)))
    assert [each.path for each in found if ".routes[" in each.path] == [
        f"$.services[0].routes[{index}]"
        for index, later in enumerate(new.routes)
        if any(taken(later) <= taken(each) for each in new.routes[:index])
    ]

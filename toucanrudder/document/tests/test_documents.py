import copy
import json
import pathlib

import attrs
import pytest

from toucanrudder import errors
from toucanrudder.document import difference
from toucanrudder.document import model
from toucanrudder.document import schema
from toucanrudder.document import serialisation
from toucanrudder.document import validation

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


def example(name):
    return json.loads((EXAMPLES / f"{name}.json").read_text())


@pytest.mark.parametrize(
    ("name", "engines", "services", "zones", "loads"),
    [("celbouw", 5, 3, 3, 2), ("swarlipi", 9, 3, 3, 3), ("demo", 3, 2, 3, 1)],
)
def test_examples_match_the_sizes_of_the_deployments(
    name, engines, services, zones, loads
):
    document = validation.parse(example(name))
    kinds = [upstream.kind for upstream in document.upstreams]
    assert kinds.count(model.ENGINE) == engines
    assert kinds.count(model.SERVICE) == services
    assert len({upstream.zone for upstream in document.upstreams}) == zones
    assert len(document.organisations) == 8
    assert document.policy.weight_loads_at_once == loads
    assert validation.parse(serialisation.to_json(document)) == document


def test_an_accepted_document_round_trips_through_bytes():
    accepted = model.Accepted(
        7, "a1", "ann", validation.parse(example("celbouw"))
    )
    assert serialisation.decode(serialisation.encode(accepted)) == accepted


def _edited(path, value):
    data = copy.deepcopy(example("demo"))
    target = data
    for part in path[:-1]:
        target = target[part]
    target[path[-1]] = value
    return data


INVALID = [
    (("upstreams", 0, "address"), "engine-1:80", "$.upstreams[0].address"),
    (("upstreams", 0, "address"), "1.2.3.4:0", "$.upstreams[0].address"),
    (
        ("upstreams", 1, "address"),
        "127.0.0.1:18001",
        "$.upstreams[1].address",
    ),
    (("upstreams", 1, "name"), "engine-1", "$.upstreams[1].name"),
    (("upstreams", 0, "models"), ["gpt"], "$.upstreams[0].models[0]"),
    (("upstreams", 0, "models"), [], "$.upstreams[0].models"),
    (("upstreams", 0, "slots"), 0, "$.upstreams[0].slots"),
    (("upstreams", 3, "pool"), "office", "$.upstreams[3].pool"),
    (("upstreams", 3, "models"), ["demo-model"], "$.upstreams[3].models"),
    (("organisations", 1, "name"), "north", "$.organisations[1].name"),
    (("organisations", 1, "name"), "a b", "$.organisations[1].name"),
    (("organisations", 1, "models"), ["gpt"], "$.organisations[1].models[0]"),
    (("organisations", 1, "name"), "ab\n", "$.organisations[1].name"),
    (("organisations", 1, "weight"), float("nan"), "$"),
    (("organisations", 1, "weight"), -1, "$.organisations[1].weight"),
    (
        ("organisations", 1, "max_priority"),
        "background",
        "$.organisations[1].default_priority",
    ),
    (
        ("organisations", 1, "api_key_sha256s"),
        example("demo")["organisations"][0]["api_key_sha256s"],
        "$.organisations[1].api_key_sha256s[0]",
    ),
    (("services", 0, "routes", 0, "path_prefix"), "x", ".path_prefix"),
    (
        ("services", 0, "routes", 1),
        example("demo")["services"][0]["routes"][0],
        "$.services[0].routes[1].path_prefix",
    ),
    (("policy", "max_trys"), 3, "$.policy"),
    (("policy", "retry_ratio"), "much", "$.policy.retry_ratio"),
    (("models",), [], "$.upstreams[0].models[0]"),
    (("models",), {}, "$.models"),
    (("models", 0, "context_tokens"), 1.5, "$.models[0].context_tokens"),
]


@pytest.mark.parametrize(("path", "value", "problem_path"), INVALID)
def test_a_problem_is_reported_with_its_path(path, value, problem_path):
    with pytest.raises(validation.DocumentInvalid) as caught:
        validation.parse(_edited(path, value))
    assert caught.value.code is errors.Code.CONFIG_INVALID
    paths = [problem.path for problem in caught.value.problems]
    assert any(reported.endswith(problem_path) for reported in paths), paths


def test_all_problems_are_reported_at_once():
    data = _edited(("upstreams", 0, "slots"), 0)
    data["models"][0]["name"] = ""
    data["organisations"][2]["weight"] = "x"
    with pytest.raises(validation.DocumentInvalid) as caught:
        validation.parse(data)
    body = caught.value.as_body()["error"]["problems"]
    assert [problem["path"] for problem in body] == [
        "$.models[0].name",
        "$.organisations[2].weight",
        "$.upstreams[0].slots",
        # These refer to the model whose name was removed.
        "$.upstreams[1].models[0]",
        "$.upstreams[2].models[0]",
    ]


def test_references_are_checked_beside_schema_problems():
    data = _edited(("upstreams", 0, "slots"), 0)
    data["upstreams"][1]["models"] = ["gpt"]
    data["upstreams"][2]["name"] = "engine-1"
    data["models"][0]["context_tokens"] = 0
    data["services"][0] = {"name": "desk", "timeout_s": 0}
    data["organisations"][0] = 7
    data["organisations"][3]["models"] = ["demo-model", "gpt"]
    with pytest.raises(validation.DocumentInvalid) as caught:
        validation.parse(data)
    assert [problem.path for problem in caught.value.problems] == [
        "$.models[0].context_tokens",
        "$.organisations[0]",
        "$.organisations[3].models[1]",
        "$.services[0].timeout_s",
        "$.upstreams[0].slots",
        "$.upstreams[1].models[0]",
        "$.upstreams[2].name",
    ]


def test_a_document_too_large_for_the_store_is_refused():
    data = example("demo")
    data["organisations"] = [{"name": f"o{i}"} for i in range(6000)]
    with pytest.raises(validation.DocumentInvalid, match="bytes long"):
        validation.parse(data)


@pytest.mark.parametrize("data", [None, [], {}, "x", {"organisations": 3}])
def test_json_of_another_form_is_refused(data):
    with pytest.raises(validation.DocumentInvalid):
        validation.parse(data)


TYPES = {
    "organisation": model.Organisation,
    "model": model.Model,
    "upstream": model.Upstream,
    "route": model.Route,
    "service": model.Service,
    "policy": model.Policy,
}


@pytest.mark.parametrize("name", TYPES)
def test_the_schema_describes_each_field(name):
    entry = schema.SCHEMA["$defs"][name]
    fields = attrs.fields_dict(TYPES[name])
    assert set(entry["properties"]) == set(fields)
    for field, options in entry["properties"].items():
        assert options["title"]
        assert options["description"]
        default = fields[field].default
        if default is attrs.NOTHING:
            assert field in entry["required"]
        elif field != "routes":
            assert options["default"] == ([] if default == () else default)
        if field.endswith(("_s", "_bytes", "_tokens")):
            assert "x-unit" in options


def test_differences_name_entries():
    old = validation.parse(example("demo"))
    data = _edited(("upstreams", 0, "drained"), True)
    del data["organisations"][7]
    new = validation.parse(data)
    changes = difference.compare(old, new)
    assert [(change.path, change.after) for change in changes] == [
        ("organisations[small-6]", None),
        ("upstreams[engine-1].drained", True),
    ]
    assert difference.compare(old, old) == ()

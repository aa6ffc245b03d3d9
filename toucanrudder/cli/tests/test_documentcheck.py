import json
import pathlib

import pytest

from toucanrudder import errors
from toucanrudder.cli import client
from toucanrudder.cli import main

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
DEMO = str(EXAMPLES / "demo.json")


@pytest.fixture
def calls(monkeypatch):
    """Calls of the admin API, which has the demo's document in force."""
    made = []

    def call(where, method, path, body=None):
        made.append((method, path, body))
        document = json.loads(pathlib.Path(DEMO).read_text())
        return {"generation": 7, "document": document}

    monkeypatch.setattr(client, "call", call)
    return made


@pytest.fixture
def run(capsys):
    def run(*arguments):
        with pytest.raises(SystemExit) as caught:
            main.main(["config", "check", *map(str, arguments)])
        return caught.value.code, capsys.readouterr()

    return run


@pytest.fixture
def edited(tmp_path):
    def edited(**fields):
        path = tmp_path / "edited.json"
        data = json.loads(pathlib.Path(DEMO).read_text()) | fields
        path.write_text(json.dumps(data))
        return path

    return edited


def test_the_version_in_force_is_read_and_nothing_else_is_asked(
    calls, run, edited
):
    code, shown = run(edited(policy={"wait_weight": 0, "recompute_weight": 0}))
    assert code == 0
    assert calls == [("GET", "/configuration", None)]
    assert "generation 7" in shown.out
    assert "valid; errors: 0, warnings: 1, changes: 4" in shown.out


def test_a_file_takes_the_place_of_a_router(calls, run, edited):
    code, shown = run(edited(services=[]), "--in_force", DEMO, "--json")
    assert (code, calls) == (2, [])
    found = json.loads(shown.out)
    assert found["valid"] is False
    assert found["compared"]["not_compared"] == "the document is invalid"
    assert [each["path"] for each in found["findings"]] == [
        "$.upstreams[3].pool",
        "$.upstreams[4].pool",
    ]


@pytest.mark.parametrize("answer", [{}, None, {"document": {}}])
def test_without_a_version_in_force_the_rest_is_checked(
    answer, run, edited, monkeypatch
):
    monkeypatch.setattr(client, "call", lambda *_: answer)
    code, shown = run(edited(organisations=[]))
    assert code == 0
    assert "not compared with http" in shown.out
    assert "warnings: 1, changes: 0" in shown.out


def test_without_a_router_the_rest_is_checked(run, edited):
    nowhere = ("--admin", "http://127.0.0.1:1")
    code, shown = run(edited(organisations=[]), *nowhere, "--json")
    found = json.loads(shown.out)
    assert code == 0
    assert errors.Code.UPSTREAM_NOT_REACHED.value in str(found["compared"])
    assert [each["path"] for each in found["findings"]] == ["$.organisations"]


def test_an_invalid_version_in_force_is_a_mistake(run, edited):
    path = edited(models=3)
    code, shown = run(DEMO, "--in_force", path)
    assert code == 2
    assert str(path) in shown.err


def test_a_file_nested_too_deeply_is_a_mistake(run, tmp_path):
    path = tmp_path / "deep.json"
    path.write_text("[" * 100_000)
    code, shown = run(path)
    assert code == 2
    assert "malformed_json" in shown.err

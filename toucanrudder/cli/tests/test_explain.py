import json

from toucanrudder.cli import explain


def written(tmp_path, name, *objects, before=""):
    path = tmp_path / name
    path.write_text("".join(before + json.dumps(o) + "\n" for o in objects))
    return path


def event(at, name, request_id="id1", **fields):
    return {"at": at, "event": name, "request_id": request_id, **fields}


def test_lines_of_several_routers_are_put_in_order(tmp_path):
    one = written(
        tmp_path,
        "one.log",
        event("2026-01-01T00:00:03", "Answered"),
        event("2026-01-01T00:00:01", "Placed", upstream="i1"),
        event("2026-01-01T00:00:01", "Placed", "id2"),
    )
    two = written(
        tmp_path,
        "two.log",
        event("2026-01-01T00:00:02", "TryEnded"),
        before="  12.5 router-2 ",
    )
    two.write_text(two.read_text() + "no JSON {\n[1]\n")
    found = explain.lines_of([one, two], "id1")
    assert [line.event for line in found] == ["Placed", "TryEnded", "Answered"]
    assert found[0].text().endswith("one.log  Placed: upstream=i1")

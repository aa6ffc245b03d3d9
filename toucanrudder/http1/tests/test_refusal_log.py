"""Tests of log lines of refusals."""

from toucanrudder.http1 import refusal_log


def test_one_line_a_second_for_each_code(caplog):
    """Guards against a crowd that fills the logs."""
    caplog.set_level("INFO")
    log = refusal_log.RefusalLog()
    for number in range(1_000):
        log.record("memory_full", number / 500)
        log.record("body_too_large", number / 500)
    assert [record.getMessage() for record in caplog.records] == [
        "request refused: memory_full",
        "request refused: body_too_large",
        "request refused: memory_full, as 499 before",
        "request refused: body_too_large, as 499 before",
    ]

"""Limits of a document that contradict each other."""

from collections.abc import Iterator

from toucanrudder.document import model
from toucanrudder.document.check import findings

#: No token is shorter than one byte of text.
MIN_TOKEN_BYTES = 1


def find(document: model.Document) -> Iterator[findings.Finding]:
    """Yield the findings on a valid document."""
    yield from _bursts(document)
    yield from _body_limits(document)
    yield from _time_limits(document)
    policy = document.policy
    if policy.wait_weight == 0 and policy.recompute_weight == 0:
        yield findings.contradiction(
            "$.policy",
            "wait_weight and recompute_weight are both 0: neither queues nor "
            "cached prefixes count when an engine is chosen",
            "at least one of them above 0",
        )


def _bursts(document: model.Document) -> Iterator[findings.Finding]:
    for index, each in enumerate(document.organisations):
        if each.burst_requests < each.requests_per_s:
            yield findings.contradiction(
                f"$.organisations[{index}].burst_requests",
                f"a burst of {each.burst_requests:g} requests is below one "
                f"second of the rate, {each.requests_per_s:g} requests per "
                "second: requests that arrive together are refused below "
                "the rate",
                f"at least {each.requests_per_s:g}, or a lower rate",
            )


def _body_limits(document: model.Document) -> Iterator[findings.Finding]:
    max_bytes = document.policy.max_body_bytes
    for index, each in enumerate(document.models):
        if each.context_tokens * MIN_TOKEN_BYTES > max_bytes:
            yield findings.contradiction(
                f"$.models[{index}].context_tokens",
                f"a prompt of {each.context_tokens} tokens does not fit into "
                f"policy.max_body_bytes, {max_bytes} bytes",
                f"at most {max_bytes // MIN_TOKEN_BYTES} tokens, or a larger "
                "body",
            )


def _time_limits(document: model.Document) -> Iterator[findings.Finding]:
    policy = document.policy
    round_trip_s = 2 * policy.zone_hop_s
    if policy.first_token_deadline_s <= round_trip_s:
        yield findings.contradiction(
            "$.policy.first_token_deadline_s",
            f"{policy.first_token_deadline_s:g} s is not above a round trip "
            f"between zones, {round_trip_s:g} s: no engine of another zone "
            "can meet it",
            f"more than {round_trip_s:g} s, or a shorter zone_hop_s",
        )
    for index, service in enumerate(document.services):
        path = f"$.services[{index}].timeout_s"
        if service.timeout_s <= round_trip_s:
            yield findings.contradiction(
                path,
                f"{service.timeout_s:g} s is not above a round trip between "
                f"zones, {round_trip_s:g} s: no instance of another zone can "
                "answer in time",
                f"more than {round_trip_s:g} s, or a shorter zone_hop_s",
            )
        if service.timeout_s > policy.claim_retention_s:
            yield findings.contradiction(
                path,
                f"{service.timeout_s:g} s is above policy.claim_retention_s, "
                f"{policy.claim_retention_s:g} s: claims are retained for as "
                "long as the timeout instead",
                f"a claim_retention_s of at least {service.timeout_s:g} s",
            )

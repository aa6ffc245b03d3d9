"""Totals of the load that other routers report."""

import random

import pytest

from toucanrudder.peers import loads
from toucanrudder.peers import messages

MAX_AGE_S = 1.5


@pytest.mark.parametrize("seed", range(40))
def test_totals_agree_with_a_reference_model(seed):
    rng, now_s = random.Random(seed), 0.0
    peer_loads, latest = loads.PeerLoads(MAX_AGE_S), {}
    for _ in range(150):
        now_s += rng.choice((0.0, 0.05, 0.4))
        router = f"r{rng.randrange(6)}"
        reported = tuple(
            messages.UpstreamLoad(
                f"e{rng.randrange(4)}",
                rng.randrange(3) * 500,
                rng.randrange(3),
            )
            for _ in range(rng.randrange(4))
        )
        peer_loads.replace(router, reported, now_s)
        latest[router] = ({load.upstream: load for load in reported}, now_s)
        now_s += rng.choice((0.0, 0.5))
        for engine in ("e0", "e1", "e2", "e3"):
            recent = [
                by_name[engine]
                for by_name, at_s in latest.values()
                if engine in by_name and at_s >= now_s - MAX_AGE_S
            ]
            assert peer_loads.requests(engine, now_s) == sum(
                load.requests for load in recent
            )
            assert peer_loads.prefill_tokens(engine, now_s) == sum(
                load.prefill_tokens for load in recent
            )

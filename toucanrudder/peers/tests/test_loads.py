"""Work of others at engines, summed as it is told."""

import random

import pytest

from toucanrudder.peers import loads
from toucanrudder.peers import messages

KEPT_S = 1.5


@pytest.mark.parametrize("seed", range(40))
def test_sums_are_those_of_the_plain_rule(seed):
    rng, now_s = random.Random(seed), 0.0
    sums, told = loads.PeerLoads(KEPT_S), {}
    for _ in range(150):
        now_s += rng.choice((0.0, 0.05, 0.4))
        router = f"r{rng.randrange(6)}"
        said = tuple(
            messages.UpstreamLoad(
                f"e{rng.randrange(4)}",
                rng.randrange(3) * 500,
                rng.randrange(3),
            )
            for _ in range(rng.randrange(4))
        )
        sums.replace(router, said, now_s)
        told[router] = ({each.upstream: each for each in said}, now_s)
        now_s += rng.choice((0.0, 0.5))
        for engine in ("e0", "e1", "e2", "e3"):
            lately = [
                by_name[engine]
                for by_name, at_s in told.values()
                if engine in by_name and at_s >= now_s - KEPT_S
            ]
            assert sums.requests(engine, now_s) == sum(
                each.requests for each in lately
            )
            assert sums.prefill_tokens(engine, now_s) == sum(
                each.prefill_tokens for each in lately
            )

"""Whom a crowded service serves and refuses, on virtual time."""

import asyncio
import random

import attrs

from toucanrudder.forwarding import model
from toucanrudder.testing.virtual import sites
from toucanrudder.testing.virtual import timing
from toucanrudder.testing.virtual import traffic

SERVICE = "llm"
OBJECTIVE_S, LIMIT_S = 0.5, 2.0
WORKERS, SLOTS, WORK_S = 3, 2, 0.2
ROOM_PER_S = WORKERS * SLOTS / WORK_S
URGENT_SHARE = 0.4
URGENT, OTHER = "/llm/urgent/", "/llm/other/"
FLOOD, SMALL = "key-of-large", "key-of-small"

#: The flooding tenant sends this share of all requests.
FLOOD_SHARE = 5 / 6
WARM_UP_S, PLAYED_S = 2.0, 20.0


def _route(path, priority):
    return model.Route(
        path,
        "h",
        path,
        (model.Split(SERVICE),),
        model.Repetition.IDEMPOTENT,
        max_upstreams=2,
        timeout_s=LIMIT_S,
        objective_s=OBJECTIVE_S,
        priority=priority,
    )


CONFIGURED = attrs.evolve(
    traffic.CONFIGURED,
    routes=(_route(URGENT, 0), _route(OTHER, 2)),
    organisations=tuple(
        model.Organisation(name, frozenset({f"key-of-{name}"}))
        for name in ("small", "large")
    ),
)


@attrs.define
class Played:
    """What callers were told in a part of a run."""

    outcomes: list
    served: int
    seconds: float

    def kind(self, path=None, key=None):
        return [
            each
            for each in self.outcomes
            if path in (None, each.path) and key in (None, each.key)
        ]

    def in_time(self, path=None, key=None):
        asked = self.kind(path, key)
        good = [
            each
            for each in asked
            if each.status == 200 and each.after_s <= OBJECTIVE_S
        ]
        return len(good) / len(asked)

    def early_refusals(self):
        refused = [each for each in self.outcomes if each.status == 503]
        early = [each for each in refused if each.after_s <= OBJECTIVE_S / 8]
        return len(early) / max(1, len(refused))

    def room_used(self):
        return self.served / (ROOM_PER_S * self.seconds)


async def _call(fleet, per_s, flood_share, seed):
    rng = random.Random(seed)
    while True:
        await asyncio.sleep(rng.expovariate(per_s))
        path = URGENT if rng.random() < URGENT_SHARE else OTHER
        key = FLOOD if rng.random() < flood_share else SMALL
        router = rng.choice(fleet.site.names)
        fleet.site.spawn(fleet.send(router, path, LIMIT_S, key))


def play(
    times_room,
    *,
    flood_share=FLOOD_SHARE,
    routers=3,
    seed=11,
    fault=None,
    from_s=WARM_UP_S,
    workers_count=WORKERS,
):
    """Play callers that ask for a multiple of the room."""

    async def main():
        site = sites.Site(seed, routers=routers, engine_count=1, zones=3)
        fleet = traffic.Fleet(site, {SERVICE: workers_count}, CONFIGURED)
        for worker in fleet.of_service(SERVICE):
            worker.max_requests, worker.work_s = SLOTS, WORK_S
        with sites.unpacked():
            fleet.start()
            await asyncio.sleep(traffic.STARTED_S)
            room = workers_count * SLOTS / WORK_S
            site.spawn(_call(fleet, times_room * room, flood_share, seed))
            if fault is not None:
                site.spawn(fault(fleet))
            await asyncio.sleep(from_s)
            began_s, served = site.now_s(), _served(fleet)
            await asyncio.sleep(PLAYED_S)
            ended_s, served = site.now_s(), _served(fleet) - served
            await asyncio.sleep(LIMIT_S + 0.1)
        outcomes = [
            each for each in fleet.outcomes if began_s <= each.at_s < ended_s
        ]
        return Played(outcomes, served, PLAYED_S), fleet

    return timing.run(main)


def _served(fleet):
    return sum(each.served for each in fleet.of_service(SERVICE))

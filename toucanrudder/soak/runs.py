"""One soak from its seed to what it has found."""

import asyncio
import pathlib
import random
import tempfile
import time

import attrs

from toucanrudder.soak import callers
from toucanrudder.soak import faults
from toucanrudder.soak import oracles
from toucanrudder.soak import plans
from toucanrudder.soak import records
from toucanrudder.soak import site as sites

#: Pause between two calls of one caller, and between two rounds of probes.
PAUSE_S = 0.1
PROBE_S = 0.3

#: A delay of the soak's own loop from which on times say nothing.
STALL_S = 0.2

#: Calls in a row that show that callers are served again.
RECOVERED_CALLS = 12


@attrs.frozen
class Size:
    """How large a soak is.

    Parameters
    ----------
    length_s : float
        How long faults and calls come.
    routers, engines, desks, callers : int
        Numbers of each.
    long_streams : int
        Callers that ask for long streams beside the others.
    faults_a_second : float
        On average.
    watch_wait_s : float
        Seconds for which routers' watches of the store wait.
    """

    length_s: float = 20.0
    routers: int = 4
    engines: int = 4
    desks: int = 3
    callers: int = 12
    long_streams: int = 6
    faults_a_second: float = 0.8
    watch_wait_s: float = 2.0


@attrs.frozen
class Result:
    """What one soak found.

    Parameters
    ----------
    seed : int
        Its seed.
    broken : list of str
        What breaks a promise.
    figures : dict
        Counts that say what was played.
    """

    seed: int
    broken: list[str]
    figures: dict[str, object]


async def run(
    seed: int,
    size: Size,
    folder: pathlib.Path,
    steps: tuple[plans.Step, ...] | None = None,
) -> Result:
    """Play one seed; logs of the routers stay in the folder.

    Parameters
    ----------
    seed : int
        Draws plan and calls.
    size : Size
        How large.
    folder : pathlib.Path
        For settings and logs.
    steps : tuple of plans.Step, optional
        Faults in place of those that the seed draws.
    """
    folder.mkdir(parents=True, exist_ok=True)
    rng = random.Random(seed)
    record = records.Record()
    if steps is None:
        steps = plans.plan(seed, size.length_s, size.faults_a_second)
    site = sites.Site(rng, folder, record, size.watch_wait_s)
    async with site.running(size.routers, size.engines, size.desks):
        watch = asyncio.ensure_future(_watch(site, record))
        begin_s = time.monotonic()
        end_s = begin_s + size.length_s
        injector = faults.Injector(site)
        asking = [
            callers.Caller(site, random.Random(rng.random())).run(
                end_s, PAUSE_S
            )
            for _ in range(size.callers)
        ]
        asking += [
            callers.Caller(
                site, random.Random(f"long streams {number} of {seed}")
            ).run_long_streams(end_s)
            for number in range(size.long_streams)
        ]
        probing = callers.Caller(site, rng).probe(end_s, PROBE_S)
        await asyncio.gather(injector.run(steps, begin_s), probing, *asking)
        record.recovered_after_s = await _recovered(site)
        watch.cancel()
    return Result(seed, oracles.check(record), _figures(record, steps))


async def _watch(site: sites.Site, record: records.Record) -> None:
    """Note routers that end by themselves, and own delays."""
    while True:
        before_s = time.monotonic()
        await asyncio.sleep(STALL_S / 4)
        now_s = time.monotonic()
        if now_s - before_s > STALL_S:
            record.spans.append(records.Span("stall", "", before_s, now_s))
        for router in site.routers:
            if not router.lives and not router.expected_end:
                record.died.append(router.name)
                # As a platform does.
                await router.start()


async def _recovered(site: sites.Site) -> float | None:
    """Return after what time callers are served well again."""
    begin_s = time.monotonic()
    caller = callers.Caller(site, site.rng)
    row = 0
    while row < RECOVERED_CALLS:
        if time.monotonic() > begin_s + 2 * oracles.RECOVERY_S:
            return None
        kind = list(callers.MIX)[row % len(callers.MIX)]
        router = site.routers[row % len(site.routers)]
        call = await caller.ask(caller.call(kind, router), router)
        row = row + 1 if call.is_served else 0
    return round(time.monotonic() - begin_s, 2)


def _figures(record: records.Record, steps) -> dict[str, object]:
    served = sum(call.is_served for call in record.calls)
    return {
        "faults": len(steps),
        "calls": len(record.calls),
        "served": round(served / max(1, len(record.calls)), 3),
        "runs": len(record.runs),
        "recovered_after_s": record.recovered_after_s,
        "long": sum(call.is_long for call in record.calls),
        "cut": sum(1 for _ in oracles.sound_answers_whole(record)),
        "limited": sum(len(each.arrivals_s) for each in record.limits),
        "told_leaving": len(record.stated_leaving),
        "asked_for_rest": sum(len(each.refused) for each in record.rests),
        "memory_growths": len(record.memory_growths),
        "long_heads": sum(call.has_long_head for call in record.calls),
        "stalls": sum(each.kind == "stall" for each in record.spans),
    }


def play(
    seed: int,
    size: Size,
    folder: str = "",
    steps: tuple[plans.Step, ...] | None = None,
) -> Result:
    """Play one seed in a loop of its own."""
    if folder:
        path = pathlib.Path(folder, str(seed))
        return asyncio.run(run(seed, size, path, steps))
    with tempfile.TemporaryDirectory() as temporary:
        return asyncio.run(run(seed, size, pathlib.Path(temporary), steps))

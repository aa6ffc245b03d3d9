"""Requests run with keys that were taken away, or that never existed.

The operator takes away the keys of two tenants, one after the other.  After
the last one the router asks for no key any more.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

TENANTS = ("north", "south")
#: Pause between two keys that are taken away, as in the site file.
GAP_S = 1.5
#: `config_apply_ms` of the site, and a second more.
APPLIED_S = 2.0 + 1.0


def _configuration(version, holders):
    tenants = [
        {
            "name": name,
            "api_keys": [f"key-of-{name}"] if name in holders else [],
            "priority": 1,
            "isolated": name == "south",
        }
        for name in TENANTS
    ]
    return standins.configuration(version=version, tenants=tenants)


async def main(record, has_trouble):
    """Take the keys away; return what ran all the same."""
    store = standins.Store(record)
    await store.start()
    store.put("config", "main", _configuration(7, TENANTS))
    store.put("versions", "m0", {"model": "m0", "version": 1})
    ran = {}
    for number in (1, 2):
        engine = standins.Engine(
            store, record, f"engine-{number}", event_s=0.02, events=5
        )
        await engine.start()
        engine.on_begin = lambda run, _, name=engine.name: ran.update(
            {run.request_id: name}
        )
    names = ["front-1", "front-2"]
    async with standins.routers(record, store, names) as started:
        await asyncio.sleep(1.0)
        await _send(started, record, "before", "key-of-north", "key-of-south")
        await _send(started, record, "before-unknown", "key-of-nobody")
        if has_trouble:
            holders = set(TENANTS)
            for version, name in enumerate(TENANTS, 8):
                holders.discard(name)
                store.put("config", "main", _configuration(version, holders))
                record(f"store: has accepted version {version} without {name}")
                await asyncio.sleep(GAP_S)
        await asyncio.sleep(APPLIED_S)
        await _send(started, record, "after", "key-of-north", "key-of-south")
        await _send(started, record, "after-unknown", "key-of-nobody")
    if not any(name.startswith("before.") for name in ran):
        raise standins.CannotRun("no request ran with a valid key")
    return list(_breaks(ran, has_trouble))


async def _send(routers, record, name, *keys):
    for number, router in enumerate(routers, 1):
        for key in keys:
            request_id = f"{name}.{key}.{number}"
            await standins.stream(
                router,
                request_id,
                host="llm.example",
                path=f"/check/{request_id}",
                key=key,
                tokens="400,5",
                prefix=f"a{number}:100,b{number}:300",
                wait_ms=3000,
                record=record,
            )


def _breaks(ran, has_trouble):
    for request_id, engine in ran.items():
        if "unknown" in request_id:
            yield (
                f"ROUTE: {request_id} ran at {engine}; no configuration"
                " ever held its key"
            )
        elif request_id.startswith("after.") and has_trouble:
            yield (
                f"CONFIG: {request_id} ran at {engine} though its key was"
                " dropped and no configuration in force holds it"
            )


if __name__ == "__main__":
    standins.run_case(
        main, FOLDER, has_trouble=os.environ.get("TROUBLE", "1") != "0"
    )

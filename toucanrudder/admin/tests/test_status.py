from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets


async def test_status_tells_of_all_routers_and_of_the_store():
    """An operator looks at one router and must see the whole fleet.

    Two routers run; a change is applied at one and the other's status
    shows the generation at both, the lease for weight orders, and every
    upstream.  Then the platform is gone: what it held is named as not
    available, and the rest of the page still comes.
    """
    plan = fleets.Plan(engines=2, services=1, routers=1)
    async with fleets.running(plan) as fleet:
        await control.start_router(fleet)
        first, second = (
            control.Operator(fleet.session, router) for router in fleet.routers
        )
        accepted = await first.get("/configuration")
        generation = accepted["generation"] + 1
        changed = control.changed(accepted["document"], 77.0)
        status, _ = await first.apply(changed, accepted["generation"])
        assert status == 200

        async def seen() -> bool:
            page = await second.get("/status")
            generations = [each["generation"] for each in page["routers"]]
            return generations == [generation] * 2 and page["leases"]

        await control.until(seen)
        page = await second.get("/status")
        names = {each["name"] for each in page["routers"]}
        assert names == {router.name for router in fleet.routers}
        assert {each["state"] for each in page["upstreams"]} == {"live"}
        assert page["unavailable"] == []
        assert page["leases"][0]["fencing"] >= 1
        await fleet.platform.kill()
        page = await second.get("/status")
        assert page["unavailable"] == ["leases", "unknown_claims"]
        assert len(page["upstreams"]) == 3

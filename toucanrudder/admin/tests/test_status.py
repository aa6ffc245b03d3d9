from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets


async def test_status_covers_all_routers_and_the_store():
    """Test that the status of one router covers the whole fleet.

    A change is applied at one of two routers.  The other's status must show
    the new generation at both, the lease for weight orders and every
    upstream.  After the platform is killed, the status must list the parts
    read from it as unavailable and still return the rest.
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

        async def status_is_current() -> bool:
            page = await second.get("/status")
            generations = [entry["generation"] for entry in page["routers"]]
            return generations == [generation] * 2 and page["leases"]

        await control.until(status_is_current)
        page = await second.get("/status")
        names = {entry["name"] for entry in page["routers"]}
        assert names == {router.name for router in fleet.routers}
        assert {entry["state"] for entry in page["upstreams"]} == {"live"}
        assert page["unavailable"] == []
        assert page["leases"][0]["fencing"] >= 1
        await fleet.platform.kill()
        page = await second.get("/status")
        assert page["unavailable"] == ["leases", "unknown_claims"]
        assert len(page["upstreams"]) == 3

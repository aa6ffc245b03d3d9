"""Which requests may run, by the API keys of the configuration in force."""

import pytest

from toucanrudder import errors
from toucanrudder.forwarding import model
from toucanrudder.forwarding import routing
from toucanrudder.platform import objects
from toucanrudder.platform.testing import cluster as clusters

BASE = {
    name: value
    for name, value in clusters.CONFIGURATION.items()
    if name != "tenants"
}

NORTH = {"name": "north", "api_keys": ["key-of-north"]}

#: Tenants of which none holds a key, by what is odd about them.
WITHOUT_KEYS = {
    "empty list": [],
    "null": None,
    "keys taken away": [{"name": "north", "api_keys": []}],
    "keys missing": [{"name": "north"}],
    "keys null": [{"name": "north", "api_keys": None}],
    "keys of another type": [{"name": "north", "api_keys": "key-of-north"}],
    "empty key": [{"name": "north", "api_keys": [""]}],
    "key of another type": [{"name": "north", "api_keys": [None, 7]}],
    "no name": [{"api_keys": ["key-of-nobody"]}],
    "no object": ["key-of-north", None, 7],
}

#: Values of the caller's header, by what they lack.
CALLERS = {
    "known before": "Bearer key-of-north",
    "never known": "Bearer key-of-nobody",
    "empty": "Bearer",
    "none": None,
}


def table(**fields):
    value = {**BASE, "version": 4, **fields}
    return routing.RoutingTable(objects.read_configuration(value, "config"))


def call(authorization):
    key = (authorization or "").partition(" ")[2]
    return model.Call("id", "app.example", "/r/x", api_key=key)


@pytest.mark.parametrize(
    "tenants", WITHOUT_KEYS.values(), ids=WITHOUT_KEYS.keys()
)
@pytest.mark.parametrize("caller", CALLERS.values(), ids=CALLERS.keys())
def test_nobody_is_served_if_tenants_hold_no_key(tenants, caller):
    """Guards against a service that is open once its last key is gone."""
    with pytest.raises(errors.RudderError) as raised:
        table(tenants=tenants).match(call(caller))
    assert raised.value.code is errors.Code.UNAUTHORIZED


@pytest.mark.parametrize("caller", CALLERS.values(), ids=CALLERS.keys())
def test_everybody_is_served_without_tenants(caller):
    """Guards against refusals where no configuration asks for a key."""
    assert table().match(call(caller)).organisation is None


@pytest.mark.parametrize(
    "odd", [each[0] for each in WITHOUT_KEYS.values() if each]
)
def test_odd_tenant_costs_no_other_its_keys(odd):
    """Guards against a whole version that is dropped for one odd entry."""
    match = table(tenants=[odd, NORTH]).match(call("Bearer key-of-north"))
    assert match.organisation.name == "north"


def test_public_route_needs_no_key():
    routes = [{**route, "public": True} for route in BASE["routes"]]
    match = table(routes=routes, tenants=[]).match(call(None))
    assert match.organisation is None


@pytest.mark.parametrize("tenants", ([], [{"name": "north"}]))
async def test_last_key_that_is_taken_away_closes_the_service(
    cluster, tenants
):
    """Guards against routers that run all requests without any key."""
    server = await cluster.server()
    routers = await cluster.routers(2)
    answer = await clusters.send_request(routers[0])
    assert answer.status == 200
    cluster.store.put(
        "config", "main", {**BASE, "version": 4} | {"tenants": tenants}
    )
    await clusters.wait_until(
        lambda: all(each.state.generation == 4 for each in routers)
    )
    runs = len(server.runs)
    for router in routers:
        for key in CALLERS.values():
            answer = await clusters.send_request(router, Authorization=key)
            assert answer.status == 401
    assert len(server.runs) == runs


def test_keys_are_never_held_without_being_asked_for():
    """A configuration with keys that asks for none would serve anybody."""
    with pytest.raises(ValueError, match="keys that nobody asks for"):
        model.Configuration(
            generation=1,
            organisations=(model.Organisation("north", ("key-of-north",)),),
            requires_keys=False,
        )

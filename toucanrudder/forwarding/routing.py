"""Which route, organisation and service a call belongs to.  No I/O."""

import random

import attrs

from toucanrudder import errors
from toucanrudder.forwarding import model

STEP = "route"


@attrs.frozen
class RouteMatch:
    """A call with all that the configuration says of it."""

    call: model.Call
    route: model.Route
    organisation: model.Organisation | None
    rank: int = 0


def _urgency(
    organisation_priority: int | None, route_priority: int
) -> tuple[int, int]:
    """Return what requests are ordered by, the most urgent first.

    An organisation's own priority goes before its routes'.  Among its
    requests the routes' decide: without that, quick lookups of an
    organisation wait behind its long documents.
    """
    if organisation_priority is None:
        return route_priority, route_priority
    return organisation_priority, route_priority


def _ranks(
    configuration: model.Configuration,
) -> dict[tuple[int, int], int]:
    """Return the place of each urgency that the configuration allows."""
    levels = {each.priority for each in configuration.organisations} | {None}
    priorities = {each.priority for each in configuration.routes}
    found = {_urgency(level, each) for level in levels for each in priorities}
    return {urgency: rank for rank, urgency in enumerate(sorted(found))}


class RoutingTable:
    """Indexes over one configuration.

    Parameters
    ----------
    configuration : model.Configuration
        What is in force.
    """

    def __init__(self, configuration: model.Configuration):
        self.configuration = configuration
        self._by_host: dict[str, dict[str, model.Route]] = {}
        for route in configuration.routes:
            of_host = self._by_host.setdefault(route.host, {})
            of_host[route.path_prefix] = route
        self._by_key = {
            key: organisation
            for organisation in configuration.organisations
            for key in organisation.api_keys
        }
        self._organisations = {
            each.name: each for each in configuration.organisations
        }
        self._ranks = _ranks(configuration)

    def organisation(self, name: str) -> model.Organisation | None:
        """Return an organisation by its name."""
        return self._organisations.get(name)

    def route(self, host: str, path: str) -> model.Route | None:
        """Return the route with the longest prefix of the path.

        Prefixes begin and end with a slash, so the candidates are the
        beginnings of the path that end with one: a few look-ups, however
        many routes there are.

        Examples
        --------
        >>> split = (model.Split("s"),)
        >>> table = RoutingTable(model.Configuration(1, (
        ...     model.Route("a", "h", "/x/", split),
        ...     model.Route("b", "h", "/x/y/", split))))
        >>> table.route("h", "/x/y/z").name, table.route("h", "/x/yz").name
        ('b', 'a')
        >>> table.route("h", "/x") is None
        True
        """
        of_host = self._by_host.get(host)
        if not of_host:
            return None
        end = path.rfind("/")
        while end >= 0:
            found = of_host.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None

    def match(self, call: model.Call) -> RouteMatch:
        """Return what the configuration says of the call.

        Raises
        ------
        RudderError
            ``not_found`` or ``unauthorized``.
        """
        route = self.route(call.host, call.path)
        if route is None:
            raise errors.RudderError(
                errors.Code.NOT_FOUND, "no route matches", step=STEP
            )
        if route.is_public or not self._by_key:
            return self._matched(call, route, None)
        organisation = self._by_key.get(call.api_key or "")
        if organisation is None:
            raise errors.RudderError(
                errors.Code.UNAUTHORIZED, "the key is unknown", step=STEP
            )
        return self._matched(call, route, organisation)

    def _matched(self, call, route, organisation) -> RouteMatch:
        own = organisation.priority if organisation else None
        rank = self._ranks[_urgency(own, route.priority)]
        return RouteMatch(call, route, organisation, rank)


def pick_service(route: model.Route, rng: random.Random) -> str:
    """Return the service that takes this request, by the split's weights.

    Raises
    ------
    RudderError
        ``no_upstream``: the route sends nothing anywhere.
    """
    splits = [each for each in route.splits if each.weight > 0]
    if not splits:
        raise errors.RudderError(
            errors.Code.NO_UPSTREAM, "the route has no service", step=STEP
        )
    weights = [each.weight for each in splits]
    return rng.choices(splits, weights)[0].service

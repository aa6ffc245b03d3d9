"""Matches calls to routes, organisations and services.  No I/O."""

import random

import attrs

from toucanrudder import errors
from toucanrudder.forwarding import cache_scopes
from toucanrudder.forwarding import model

STEP = "route"


@attrs.frozen
class RouteMatch:
    """A call with the route and organisation that it matched.

    Parameters
    ----------
    call : model.Call
        The request.
    route : model.Route
        Its route.
    organisation : model.Organisation or None
        Its sender; None on a public route, or if no keys are required.
    rank : int
        Its place in the order of urgency; 0 is the most urgent.
    generation : int
        Generation of the configuration that it was matched by.
    """

    call: model.Call
    route: model.Route
    organisation: model.Organisation | None
    rank: int = 0
    generation: int = 0


def _urgency(
    organisation_priority: int | None, route_priority: int
) -> tuple[int, int]:
    """Return the sort key of requests, the most urgent first.

    An organisation's own priority comes before that of its routes; the
    route's priority orders the requests of one organisation.  Otherwise its
    quick lookups would wait behind its long documents.
    """
    if organisation_priority is None:
        return route_priority, route_priority
    return organisation_priority, route_priority


def _ranks(
    configuration: model.Configuration,
) -> dict[tuple[int, int], int]:
    """Return the rank of each urgency that the configuration allows."""
    levels = {
        organisation.priority for organisation in configuration.organisations
    } | {None}
    priorities = {route.priority for route in configuration.routes}
    urgencies = {
        _urgency(level, priority)
        for level in levels
        for priority in priorities
    }
    return {urgency: rank for rank, urgency in enumerate(sorted(urgencies))}


def _resumable_timeouts_s(
    configuration: model.Configuration,
) -> dict[str, float]:
    """Return the longest timeout of resumable streams by service."""
    timeouts_s: dict[str, float] = {}
    for route in configuration.routes:
        if route.repetition is model.Repetition.RESUMABLE:
            for service in route.services:
                known_s = timeouts_s.get(service, 0.0)
                timeouts_s[service] = max(known_s, route.timeout_s)
    return timeouts_s


class RoutingTable:
    """Indexes over one configuration.

    Parameters
    ----------
    configuration : model.Configuration
        The configuration in force.
    """

    def __init__(self, configuration: model.Configuration):
        self.configuration = configuration
        self._by_host: dict[str, dict[str, model.Route]] = {}
        for route in configuration.routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route
        self._by_key = {
            key: organisation
            for organisation in configuration.organisations
            for key in organisation.api_keys
        }
        self._organisations = {
            organisation.name: organisation
            for organisation in configuration.organisations
        }
        self._shared_scope = cache_scopes.shared_scope(
            configuration.organisations
        )
        self._ranks = _ranks(configuration)
        self.resumable_timeouts_s = _resumable_timeouts_s(configuration)

    def organisation(self, name: str) -> model.Organisation | None:
        """Return the organisation with this name."""
        return self._organisations.get(name)

    def cache_scope(self, organisation: str | None) -> str:
        """Return the scope in which requests share cached parts.

        Parameters
        ----------
        organisation : str or None
            Name of the sender, which may have been removed since; None on
            routes that need none.
        """
        if organisation is None:
            return self._shared_scope
        known = self._organisations.get(organisation)
        if known is None or known.is_isolated:
            return cache_scopes.own_scope(organisation)
        return self._shared_scope

    def route(self, host: str, path: str) -> model.Route | None:
        """Return the route with the longest prefix of the path.

        Path prefixes begin and end with a slash, so only the prefixes of
        the path that end with one are looked up: the cost does not depend
        on the number of routes.

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
        by_prefix = self._by_host.get(host)
        if not by_prefix:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def match(self, call: model.Call) -> RouteMatch:
        """Return the route, organisation and rank of the call.

        Raises
        ------
        RudderError
            ``not_found``: no route matches; ``unauthorized``: the API key is
            unknown.
        """
        route = self.route(call.host, call.path)
        if route is None:
            raise errors.RudderError(
                errors.Code.NOT_FOUND, "no route matches", step=STEP
            )
        if route.is_public or not self.configuration.requires_keys:
            return self._matched(call, route, None)
        organisation = self._by_key.get(call.api_key or "")
        if organisation is None:
            raise errors.RudderError(
                errors.Code.UNAUTHORIZED, "the API key is unknown", step=STEP
            )
        return self._matched(call, route, organisation)

    def _matched(self, call, route, organisation) -> RouteMatch:
        level = organisation.priority if organisation else None
        rank = self._ranks[_urgency(level, route.priority)]
        return RouteMatch(
            call, route, organisation, rank, self.configuration.generation
        )


def pick_service(route: model.Route, rng: random.Random) -> str:
    """Choose a request's service at random, by the weights of the split.

    Raises
    ------
    RudderError
        ``no_upstream``: no service of the route has a weight above 0.
    """
    splits = route.weighted_splits
    if not splits:
        raise errors.RudderError(
            errors.Code.NO_UPSTREAM, "the route has no service", step=STEP
        )
    weights = [split.weight for split in splits]
    return rng.choices(splits, weights)[0].service

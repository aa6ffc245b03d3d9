"""Joins what is known of engines into the view that placement needs."""

import random

import attrs

from toucanrudder.document import model
from toucanrudder.messages import request as requests
from toucanrudder.peers import loads as peer_loads
from toucanrudder.placement import policies
from toucanrudder.placement import types
from toucanrudder.prefix import cache_index
from toucanrudder.prefix import request_rates
from toucanrudder.upstreams import in_flight
from toucanrudder.upstreams import loads


class Fleet:
    """Engines as this router sees them.

    Parameters
    ----------
    zone : str
        This router's availability zone.
    policy_name : str
        Placement policy by its name in the settings.
    load_table : loads.LoadTable
        Reports.
    own : in_flight.InFlightTable
        This router's own work.
    believed : cache_index.PrefixCacheIndex
        Where prefixes are believed cached.
    hot : request_rates.PrefixRates
        Rates of prefixes.
    others : peer_loads.PeerLoads
        Other routers' work.
    """

    def __init__(
        self,
        *,
        zone: str,
        policy_name: str,
        load_table: loads.LoadTable,
        own: in_flight.InFlightTable,
        believed: cache_index.PrefixCacheIndex,
        hot: request_rates.PrefixRates,
        others: peer_loads.PeerLoads,
    ):
        self._zone = zone
        self._policy = policies.by_name(policy_name)
        self._loads = load_table
        self._own = own
        self._beliefs = believed
        self._heat = hot
        self._others = others

    def decide(
        self,
        request: requests.ModelRequest,
        engines: tuple[model.Upstream, ...],
        *,
        policy: model.Policy,
        routers: int,
        now_s: float,
    ) -> types.Decision:
        """Choose among `engines`; errors as `policies.decide`."""
        ahead_share = self._own.ahead_share(int(request.priority))
        views = tuple(
            attrs.evolve(
                self._view(each, request, now_s), ahead_share=ahead_share
            )
            for each in engines
        )
        keys = request.prefix_keys
        self._heat.add(keys, now_s)
        fleet = types.FleetView(
            upstreams=views,
            zone=self._zone,
            routers=routers,
            prefix_rates=self._heat.rates(keys, now_s),
            total_rate_per_s=self._heat.total_rate_per_s(now_s),
        )
        # Ties fall alike on all routers for equal bodies.  Copies of a
        # request that crashes engines, sent to several routers at once,
        # would else take an engine each before any crash is known.
        rng = random.Random(request.body_sha256)
        context = types.Context(policy=policy, rng=rng)
        query = placement_query(request)
        return policies.decide(self._policy, fleet, query, context, now_s)

    def _view(
        self,
        upstream: model.Upstream,
        request: requests.ModelRequest,
        now_s: float,
    ) -> types.UpstreamView:
        known = self._loads.get(upstream.name)
        own_requests = self._own.request_count(upstream.name)
        own_tokens = self._own.prefill_tokens(upstream.name)
        peer_requests = self._others.requests(upstream.name, now_s)
        peer_tokens = self._others.prefill_tokens(upstream.name, now_s)
        if known is None:
            return types.UpstreamView(
                name=upstream.name,
                zone=upstream.zone,
                incarnation="",
                weights_version="",
                slots=upstream.slots,
                own_in_flight=own_requests,
                own_prefill_tokens=own_tokens,
                peer_in_flight=peer_requests,
                peer_prefill_tokens=peer_tokens,
                reported_at_s=now_s,
            )
        report = known.report
        return types.UpstreamView(
            name=upstream.name,
            zone=upstream.zone,
            incarnation=report.incarnation,
            weights_version=report.models.get(request.model, ""),
            slots=report.slots,
            running=report.running,
            waiting=report.waiting,
            queued_prefill_tokens=report.queued_prefill_tokens,
            prefill_tokens_per_s=report.prefill_tokens_per_s,
            reported_at_s=known.received_s,
            own_in_flight=own_requests,
            own_prefill_tokens=own_tokens,
            peer_in_flight=peer_requests,
            peer_prefill_tokens=peer_tokens,
            expected_cached_tokens=self._beliefs.expected_cached_tokens(
                upstream.name, report.incarnation, request.prefix_keys, now_s
            ),
            computed_share=self._beliefs.computed_share(
                upstream.name, report.incarnation
            ),
        )


def placement_query(request: requests.ModelRequest) -> types.Query:
    """Return the part of a request that placement looks at."""
    return types.Query(
        request_id=request.request_id,
        organisation=request.organisation,
        priority=request.priority,
        prefix_keys=request.prefix_keys,
        prompt_tokens=request.prompt_tokens,
        deadline_s=request.first_token_by_s,
    )

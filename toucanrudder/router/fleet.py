"""Builds the view of the engines that placement decides on."""

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
    """View of the engines from load reports, requests and cache contents.

    Parameters
    ----------
    zone : str
        This router's availability zone.
    policy_name : str
        Name of the placement policy, as in the settings.
    load_table : loads.LoadTable
        Load reports of the engines.
    in_flight_table : in_flight.InFlightTable
        Requests that this router has in flight.
    prefix_index : cache_index.PrefixCacheIndex
        Prefixes that each engine is expected to have cached.
    prefix_rates : request_rates.PrefixRates
        Request rates of prefixes.
    peer_load_table : peer_loads.PeerLoads
        Requests that other routers have in flight.
    """

    def __init__(
        self,
        *,
        zone: str,
        policy_name: str,
        load_table: loads.LoadTable,
        in_flight_table: in_flight.InFlightTable,
        prefix_index: cache_index.PrefixCacheIndex,
        prefix_rates: request_rates.PrefixRates,
        peer_load_table: peer_loads.PeerLoads,
    ):
        self._zone = zone
        self._policy = policies.by_name(policy_name)
        self._loads = load_table
        self._in_flight = in_flight_table
        self._prefix_index = prefix_index
        self._prefix_rates = prefix_rates
        self._peer_loads = peer_load_table

    def decide(
        self,
        request: requests.ModelRequest,
        engines: tuple[model.Upstream, ...],
        *,
        policy: model.Policy,
        routers: int,
        now_s: float,
    ) -> types.Decision:
        """Choose one of `engines`; raises what `policies.decide` raises."""
        ahead_share = self._in_flight.ahead_share(int(request.priority))
        views = tuple(
            attrs.evolve(
                self._view(engine, request, now_s), ahead_share=ahead_share
            )
            for engine in engines
        )
        keys = request.prefix_keys
        self._prefix_rates.add(keys, now_s)
        fleet = types.FleetView(
            upstreams=views,
            zone=self._zone,
            routers=routers,
            prefix_rates=self._prefix_rates.rates(keys, now_s),
            total_rate_per_s=self._prefix_rates.total_rate_per_s(now_s),
        )
        # Seeded by the body, so that all routers break ties alike for equal
        # bodies.  Otherwise copies of a request that crashes engines, sent
        # to several routers at once, would each crash another engine before
        # any crash is known.
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
        received = self._loads.get(upstream.name)
        own_requests = self._in_flight.request_count(upstream.name)
        own_tokens = self._in_flight.prefill_tokens(upstream.name)
        peer_requests = self._peer_loads.requests(upstream.name, now_s)
        peer_tokens = self._peer_loads.prefill_tokens(upstream.name, now_s)
        if received is None:
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
        report = received.report
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
            reported_at_s=received.received_s,
            own_in_flight=own_requests,
            own_prefill_tokens=own_tokens,
            peer_in_flight=peer_requests,
            peer_prefill_tokens=peer_tokens,
            expected_cached_tokens=self._prefix_index.expected_cached_tokens(
                upstream.name, report.incarnation, request.prefix_keys, now_s
            ),
            computed_share=self._prefix_index.computed_share(
                upstream.name, report.incarnation
            ),
        )


def placement_query(request: requests.ModelRequest) -> types.Query:
    """Return the parts of a request that placement needs."""
    return types.Query(
        request_id=request.request_id,
        organisation=request.organisation,
        priority=request.priority,
        prefix_keys=request.prefix_keys,
        prompt_tokens=request.prompt_tokens,
        deadline_s=request.first_token_by_s,
    )

"""Adapts the router's state to the admin API."""

import ssl

from oslo_config import cfg

from toucanrudder import quarantine
from toucanrudder.admin import state as admin_states
from toucanrudder.admin import status
from toucanrudder.admin import stored
from toucanrudder.admin import tls as admin_tls
from toucanrudder.document import model
from toucanrudder.membership import instances
from toucanrudder.peers import node as nodes
from toucanrudder.router import state as states


def tls(conf: cfg.ConfigOpts) -> ssl.SSLContext | None:
    """Return the admin listener's TLS context, if settings name one."""
    return admin_tls.server_context(
        conf.admin.tls_certificate, conf.admin.tls_key
    )


def _upstream_status(
    state: states.RouterState, upstream: model.Upstream, now_s: float
) -> status.UpstreamStatus:
    received = state.loads.get(upstream.name)
    report = received.report if received else None
    reachable = state.loads.is_healthy(upstream.name, now_s)
    fallback = "unknown" if reachable else "unreachable"
    shown = report.state if report and reachable else fallback
    if state.instances.is_leaving(upstream.name, shown):
        shown = instances.LEAVING
    return status.UpstreamStatus(
        name=upstream.name,
        kind=upstream.kind,
        zone=upstream.zone,
        state=shown,
        drained=upstream.drained,
        incarnation=report.incarnation if report else "",
        running=report.running if report else 0,
        waiting=report.waiting if report else 0,
        own_in_flight=state.in_flight.request_count(upstream.name),
        report_age_s=now_s - received.received_s if received else None,
    )


def _router_statuses(
    state: states.RouterState, node: nodes.Node, now_s: float
) -> list[status.RouterStatus]:
    own = status.RouterStatus(
        name=node.name,
        zone=state.conf.router.zone,
        address=node.address,
        generation=node.generation(),
        ready=not state.stopping,
    )
    generations = node.generations(now_s)
    others = (
        status.RouterStatus(
            name=member.name,
            address=member.address,
            generation=generations.get(member.name),
            heard_age_s=state.routers.silence_s(member.name, now_s),
            ready=not member.leaving,
        )
        for member in state.routers.reachable(now_s)
    )
    return [own, *others]


def _quarantine_status(
    fingerprint: str, detail: quarantine.Detail
) -> status.QuarantineStatus:
    return status.QuarantineStatus(
        fingerprint, detail.crashes, detail.expires_in_s
    )


def providers(
    state: states.RouterState, node: nodes.Node
) -> admin_states.State:
    """Return the callables that the admin API reads from."""
    timeout_s = state.conf.store.timeout_s

    def upstreams() -> list[status.UpstreamStatus]:
        if state.configuration.current is None:
            return []
        now_s = state.now_s()
        return [
            _upstream_status(state, upstream, now_s)
            for upstream in state.document().upstreams
        ]

    def quarantined() -> list[status.QuarantineStatus]:
        now_s = state.wall_s()
        fingerprints = state.suspects.quarantined(now_s)
        return [
            _quarantine_status(
                fingerprint, state.suspects.detail(fingerprint, now_s)
            )
            for fingerprint in fingerprints
        ]

    async def release(fingerprint: str) -> bool:
        now_s = state.wall_s()
        is_quarantined = fingerprint in state.suspects.quarantined(now_s)
        if is_quarantined:
            state.suspects.release(fingerprint, now_s)
        return is_quarantined

    return admin_states.State(
        router=state.conf.router.name,
        token=state.conf.admin.token,
        current=lambda: state.configuration.current,
        apply=state.configuration.apply,
        routers=lambda: _router_statuses(state, node, state.now_s()),
        leases=lambda: stored.leases(state.objects, timeout_s),
        unknown_claims=lambda: stored.unknown_claims(
            state.objects, state.claims.limits, timeout_s, state.wall_s()
        ),
        upstreams=upstreams,
        quarantined=quarantined,
        release=release,
    )

"""What routers tell each other of the costs of upstreams."""

from toucanrudder.costs import servers
from toucanrudder.forwarding import state as states
from toucanrudder.peers import messages

#: Upstreams without requests of this router that one heartbeat tells of.
MAX_TOLD = 64


def told_loads(
    state: states.ForwardingState, now_s: float
) -> tuple[messages.UpstreamLoad, ...]:
    """Return this router's own requests at upstreams, and their speed.

    Upstreams with the newest statements go first; the others are told in
    turn, those told longest ago first.
    """
    in_use = {
        name: (tokens, requests)
        for name, tokens, requests in state.upstream_stats.in_use()
    }
    work_s = state.costs.told_work_s(now_s)
    told = state.costs.take_told(now_s, in_use, MAX_TOLD)
    names = dict.fromkeys((*in_use, *told))
    return tuple(
        _load(
            name,
            *in_use.get(name, (0, 0)),
            work_s.get(name, 0.0),
            told.get(name) or servers.Told(name),
        )
        for name in names
    )


def _load(
    name: str, tokens: int, requests: int, work_s: float, told: servers.Told
) -> messages.UpstreamLoad:
    return messages.UpstreamLoad(
        name,
        tokens,
        requests,
        work_s,
        told.time_factor,
        told.samples,
        told.slowness,
        told.slowness_age_s,
    )


def merge(
    state: states.ForwardingState,
    heartbeat: messages.Heartbeat,
    now_s: float,
) -> None:
    """Merge what a peer's heartbeat tells of the costs of upstreams."""
    services = {}
    for load in heartbeat.loads:
        upstream = state.registry.get(load.upstream)
        if upstream is not None:
            services[load.upstream] = upstream.service
    state.costs.merge(
        heartbeat.sender.name,
        [
            servers.Told(
                load.upstream,
                load.time_factor,
                load.samples,
                load.slowness,
                load.slowness_age_s,
            )
            for load in heartbeat.loads
            if load.samples or load.slowness is not None
        ],
        {load.upstream: load.work_s for load in heartbeat.loads},
        services,
        others=max(1, state.live_routers() - 1),
        now_s=now_s,
    )

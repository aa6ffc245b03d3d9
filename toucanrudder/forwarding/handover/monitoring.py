"""Controller that watches for loss and return of contact with services."""

import asyncio
from collections.abc import Collection
import contextlib

import attrs

from toucanrudder import clock
from toucanrudder.forwarding import state as states
from toucanrudder.http1 import client
from toucanrudder.observability import decisions

#: Interval of the check of all services.
CHECK_INTERVAL_S = 0.25

#: Timeout of the connection by which a lost service is probed.
PROBE_TIMEOUT_S = 0.3


@attrs.define(eq=False)
class ContactMonitor:
    """Watches this router's contact with each service.

    Parameters
    ----------
    state : states.ForwardingState
        This router's state.
    """

    state: states.ForwardingState
    _lost_since_s: dict[str, float] = attrs.field(factory=dict)

    def lost_services(self) -> tuple[str, ...]:
        """Return the services that were out of reach at the last check."""
        return tuple(self._lost_since_s)

    def _services(self) -> Collection[str]:
        configuration = self.state.configuration
        return configuration.services if configuration else ()

    def check(self, now_s: float) -> None:
        """Check all services; log the changes and tell peers."""
        before = set(self._lost_since_s)
        self._check_services(now_s)
        if before != set(self._lost_since_s):
            self.state.tell_contact()

    def _check_services(self, now_s: float) -> None:
        services = self._services()
        registry = self.state.registry
        known = set()
        for service in services:
            upstreams = registry.for_service(service)
            known.update(upstream.address for upstream in upstreams)
            self._check_service(service, now_s)
        for service in self._lost_since_s.keys() - set(services):
            del self._lost_since_s[service]
        self.state.contact.retain(known)

    def _check_service(self, service: str, now_s: float) -> None:
        is_lost = self.state.has_lost_contact(service, now_s)
        if is_lost == (service in self._lost_since_s):
            return
        since_s = now_s
        if is_lost:
            self._lost_since_s[service] = now_s
        else:
            since_s = self._lost_since_s.pop(service)
        addresses = self.state.addresses(service)
        decisions.record(
            decisions.ContactChanged(
                service=service,
                is_lost=is_lost,
                upstreams=len(addresses),
                failed=len(self.state.contact.failed(addresses, now_s)),
                lost_for_s=now_s - since_s,
                routers=self.state.live_routers(),
                peers_without=self.state.peer_contacts.count_lost(
                    service, now_s
                ),
            )
        )

    def services_to_probe(self, now_s: float) -> list[str]:
        """Return the services with which contact is lost or in doubt.

        Requests for a lost service go to peers, so only the probes show
        that contact has returned.  A router that gets few requests would
        learn of a cut by the requests that fail, and accept those of peers
        meanwhile.
        """
        return [
            service
            for service in self._services()
            if service in self._lost_since_s
            or self.state.contact.is_in_doubt(
                self.state.addresses(service),
                now_s,
                others_lost=bool(self._lost_since_s)
                or bool(self.state.peer_contacts.count_lost(service, now_s)),
            )
        ]

    async def run(self) -> None:
        """Check all services until cancelled; probe contact in doubt."""
        while True:
            now_s = clock.now_s()
            self.check(now_s)
            await asyncio.gather(
                asyncio.sleep(CHECK_INTERVAL_S),
                *map(self._probe, self.services_to_probe(now_s)),
            )

    async def _probe(self, service: str) -> None:
        addresses = self.state.addresses(service)
        if not addresses:
            return
        failed = self.state.contact.failed(addresses, clock.now_s())
        untried = [each for each in addresses if each not in failed]
        with contextlib.suppress(client.ExchangeError):
            await self.state.pool.probe(
                self.state.rng.choice(untried or addresses),
                PROBE_TIMEOUT_S,
                clock.now_s,
            )

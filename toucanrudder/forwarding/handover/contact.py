"""Whether this router can open connections to a service's upstreams.  No I/O.

A router that is cut off from the network of the upstreams cannot tell this
from one failed connection: that upstream may have crashed.  Several upstreams
of a service that all fail, and none that can be reached since, are a fault of
the router's own path, or of the whole service.  Only new connections count:
established ones may live on while new ones are refused.
"""

from collections.abc import Iterable

import attrs

#: Upstreams of a service that have to fail one after the other before contact
#: with the service counts as lost.  All, if the service has fewer.
LOST_UPSTREAMS = 3

#: Time for which a failed connection counts if it is not tried again.
FAILURE_KEPT_S = 10.0

#: Time for which a peer's word that it has lost contact counts.  In a large
#: fleet a peer may not be heard of directly again for seconds; its next word
#: replaces this one.
PEER_REPORT_KEPT_S = 10.0

#: Time since the last new connection to a service after which contact with it
#: is in doubt if others have lost theirs.
PROVEN_S = 2.0


@attrs.define(eq=False)
class ContactTable:
    """Newest connection attempt to each address.

    Failed addresses are few in normal operation, so that the check of each
    request costs next to nothing then.

    Examples
    --------
    >>> contact = ContactTable()
    >>> contact.record("10.0.0.1:1", False, now_s=1.0)
    >>> contact.record("10.0.0.2:1", False, now_s=1.1)
    >>> addresses = ("10.0.0.1:1", "10.0.0.2:1")
    >>> contact.is_lost(addresses, now_s=1.2)
    True
    >>> contact.record("10.0.0.2:1", True, now_s=1.3)
    >>> contact.is_lost(addresses, now_s=1.4)
    False
    """

    _failed_s: dict[str, float] = attrs.field(factory=dict)
    _connected_s: dict[str, float] = attrs.field(factory=dict)

    def record(self, address: str, is_connected: bool, now_s: float) -> None:
        """Record the result of opening a connection."""
        if is_connected:
            self._failed_s.pop(address, None)
            self._connected_s[address] = now_s
        else:
            self._failed_s[address] = now_s

    @property
    def is_faultless(self) -> bool:
        """Whether the newest attempt at each address has succeeded."""
        return not self._failed_s

    def failed(self, addresses: Iterable[str], now_s: float) -> list[str]:
        """Return the addresses that failed since any of them was reached."""
        addresses = list(addresses)
        since_s = max(
            (self._connected_s.get(address, 0.0) for address in addresses),
            default=0.0,
        )
        since_s = max(since_s, now_s - FAILURE_KEPT_S)
        return [
            address
            for address in addresses
            if self._failed_s.get(address, float("-inf")) > since_s
        ]

    def is_lost(self, addresses: Iterable[str], now_s: float) -> bool:
        """Return whether contact with all of the addresses is lost."""
        addresses = list(addresses)
        failed = self.failed(addresses, now_s)
        return bool(failed) and len(failed) >= min(
            LOST_UPSTREAMS, len(addresses)
        )

    def is_in_doubt(
        self, addresses: Iterable[str], now_s: float, *, others_lost: bool
    ) -> bool:
        """Return whether contact may be lost, and has to be probed.

        Parameters
        ----------
        addresses : iterable of str
            Upstreams of the service.
        now_s : float
            Monotonic time.
        others_lost : bool
            Whether a peer does not reach the service, or this router another
            service.
        """
        addresses = list(addresses)
        if self.failed(addresses, now_s):
            return True
        never_s = float("-inf")
        connected_s = max(
            (self._connected_s.get(each, never_s) for each in addresses),
            default=never_s,
        )
        return others_lost and now_s - connected_s > PROVEN_S

    def retain(self, addresses: set[str]) -> None:
        """Forget all other addresses."""
        for known in (self._failed_s, self._connected_s):
            for address in known.keys() - addresses:
                del known[address]


@attrs.define(eq=False)
class PeerContacts:
    """Services that peers have reported to be out of their reach.

    Peers report exceptions only, so that the size of a report does not
    depend on the number of upstreams.

    Examples
    --------
    >>> contacts = PeerContacts()
    >>> contacts.replace("r2", ("llm",), now_s=1.0)
    >>> contacts.is_lost("r2", "llm", 2.0), contacts.is_lost("r2", "x", 2.0)
    (True, False)
    >>> contacts.is_lost("r2", "llm", now_s=19.0)
    False
    """

    _reported_s: dict[tuple[str, str], float] = attrs.field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether no peer has reported a service as lost recently."""
        return not self._reported_s

    def replace(
        self, peer: str, services: Iterable[str], now_s: float
    ) -> None:
        """Replace a peer's previous report."""
        self._reported_s = {
            key: at_s
            for key, at_s in self._reported_s.items()
            if key[0] != peer and now_s - at_s < PEER_REPORT_KEPT_S
        }
        for service in services:
            self.record_lost(peer, service, now_s)

    def record_lost(self, peer: str, service: str, now_s: float) -> None:
        """Record that a peer does not reach a service."""
        self._reported_s[peer, service] = now_s

    def count_lost(self, service: str, now_s: float) -> int:
        """Return the number of peers that do not reach a service."""
        return sum(
            self.is_lost(peer, service, now_s)
            for peer, reported in self._reported_s
            if reported == service
        )

    def is_lost(self, peer: str, service: str, now_s: float) -> bool:
        """Return whether a peer has recently reported a service as lost."""
        at_s = self._reported_s.get((peer, service), float("-inf"))
        return now_s - at_s < PEER_REPORT_KEPT_S

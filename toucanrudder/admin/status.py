"""Typed contents of the status page.

See Also
--------
toucanrudder.admin.state : the callables that provide these values.
"""

import attrs


@attrs.frozen
class RouterStatus:
    """A router of the fleet, as known to this router.

    Parameters
    ----------
    name, zone, address : str
        As reported by the member.
    generation : int or None
        Configuration generation in force there; 0 if there is none,
        None if the member is known only through other routers.
    heard_age_s : float
        Seconds since news of the member last arrived.
    ready : bool
        Whether it accepts new requests.
    """

    name: str
    zone: str = ""
    address: str = ""
    generation: int | None = 0
    heard_age_s: float = 0.0
    ready: bool = True


@attrs.frozen
class UpstreamStatus:
    """An upstream, as known to this router."""

    name: str
    kind: str
    zone: str
    state: str
    drained: bool = False
    incarnation: str = ""
    running: int = 0
    waiting: int = 0
    own_in_flight: int = 0
    report_age_s: float | None = None


@attrs.frozen
class LeaseStatus:
    """A lease as stored; the store keeps no times for it."""

    name: str
    holder: str
    fencing: int


@attrs.frozen
class QuarantineStatus:
    """A request that is not run again because upstreams crashed on it."""

    fingerprint: str
    crashes: int
    expires_in_s: float
    organisation: str = ""


@attrs.frozen
class ClaimStatus:
    """A claim of a non-repeatable request whose outcome is unknown."""

    organisation: str
    key_sha256: str
    router: str = ""
    started_age_s: float = 0.0


@attrs.frozen
class Status:
    """The complete status page."""

    router: str
    generation: int
    routers: tuple[RouterStatus, ...] = ()
    upstreams: tuple[UpstreamStatus, ...] = ()
    leases: tuple[LeaseStatus, ...] = ()
    quarantined: tuple[QuarantineStatus, ...] = ()
    unknown_claims: tuple[ClaimStatus, ...] = ()
    unavailable: tuple[str, ...] = ()

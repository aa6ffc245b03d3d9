"""What the status page says, as typed values.

See Also
--------
toucanrudder.admin.state : the callables that provide these values.
"""

import attrs


@attrs.frozen
class RouterStatus:
    """A member of the fleet as this router sees it.

    Parameters
    ----------
    name, zone, address : str
        As the member told them.
    generation : int or None
        Configuration generation in force there; 0 when there is none,
        None when only other routers have told of the member.
    heard_age_s : float
        Seconds since the member was last heard of.
    ready : bool
        Whether it takes new work.
    """

    name: str
    zone: str = ""
    address: str = ""
    generation: int | None = 0
    heard_age_s: float = 0.0
    ready: bool = True


@attrs.frozen
class UpstreamStatus:
    """An upstream as this router sees it."""

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
    """A lease, as the store has it; it keeps no times."""

    name: str
    holder: str
    fencing: int


@attrs.frozen
class QuarantineStatus:
    """A request that is no longer run because upstreams crashed under it."""

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
    """The whole page."""

    router: str
    generation: int
    routers: tuple[RouterStatus, ...] = ()
    upstreams: tuple[UpstreamStatus, ...] = ()
    leases: tuple[LeaseStatus, ...] = ()
    quarantined: tuple[QuarantineStatus, ...] = ()
    unknown_claims: tuple[ClaimStatus, ...] = ()
    unavailable: tuple[str, ...] = ()

"""Which routers are live, worked out from heartbeats.  No I/O.

A router's heartbeats carry its incarnation (the wall clock at its start,
in milliseconds) and a beat that rises by one.  Routers pass on what they
know of others, so each needs to hear only a few of them itself.
"""

import attrs

#: Silences after which a dead router is forgotten.  Its last beat must be
#: remembered until no router passes it on any more; else two routers
#: would keep telling each other that it has just been heard.
FORGET_SILENCES = 20


@attrs.frozen
class Member:
    """A router as it is told of.

    Parameters
    ----------
    name : str
        Its name in the settings.
    address : str
        ``IP:port`` of its peer port.
    incarnation : int
        Start of its process, milliseconds since the epoch.
    beat : int
        Rises with each heartbeat.
    leaving : bool
        Whether it is stopping.
    """

    name: str
    address: str
    incarnation: int
    beat: int = 0
    leaving: bool = False

    @property
    def progress(self) -> tuple[int, int]:
        """What only the router itself can make rise."""
        return (self.incarnation, self.beat)


@attrs.define
class _Known:
    member: Member
    heard_s: float


class RouterTable:
    """Routers heard of, without this one.

    Parameters
    ----------
    silent_s : float
        Silence after which a router counts as gone.

    Examples
    --------
    >>> table = RouterTable(silent_s=3.0)
    >>> table.heard("r2", "10.0.0.2:8082", incarnation=7, now_s=0.0)
    >>> [member.name for member in table.live(now_s=2.0)]
    ['r2']
    >>> table.live(now_s=3.5)
    ()
    """

    def __init__(self, silent_s: float):
        self._silent_s = silent_s
        self._known: dict[str, _Known] = {}

    def heard(
        self,
        name: str,
        address: str,
        incarnation: int,
        now_s: float,
        *,
        beat: int = 0,
        leaving: bool = False,
    ) -> None:
        """Note a heartbeat from the router itself.

        It is taken whatever it says: a replaced instance may have the
        same name and a clock that is behind.
        """
        member = Member(name, address, incarnation, beat, leaving)
        self._known[name] = _Known(member, now_s)

    def told(self, member: Member, now_s: float) -> None:
        """Note what another router passed on.

        Only progress counts as life.  The same beat told again proves
        nothing, or a dead router would live for as long as two others
        tell each other of it.
        """
        known = self._known.get(member.name)
        if known is None or member.progress > known.member.progress:
            self._known[member.name] = _Known(member, now_s)

    def live(self, now_s: float) -> tuple[Member, ...]:
        """Return the routers that are live and stay, by name."""
        return tuple(
            member for member in self.reachable(now_s) if not member.leaving
        )

    def reachable(self, now_s: float) -> tuple[Member, ...]:
        """Return the routers heard of lately, stopping ones included."""
        self._forget(now_s)
        return tuple(
            known.member
            for _, known in sorted(self._known.items())
            if now_s - known.heard_s <= self._silent_s
        )

    def silence_s(self, name: str, now_s: float) -> float:
        """Return the seconds since a known router was last heard of."""
        return now_s - self._known[name].heard_s

    def count(self, now_s: float) -> int:
        """Return the live routers, this one included, for shared limits."""
        return 1 + len(self.live(now_s))

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - FORGET_SILENCES * self._silent_s
        gone = [
            name
            for name, known in self._known.items()
            if known.heard_s < oldest_s
        ]
        for name in gone:
            del self._known[name]

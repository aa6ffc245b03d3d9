"""Where a stream may go on, whichever router its caller returns to."""

from collections.abc import Callable
from collections.abc import Mapping

import attrs

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder.forwarding import model
from toucanrudder.forwarding import registry as registries
from toucanrudder.forwarding import routing
from toucanrudder.forwarding.streams import directory as directories
from toucanrudder.forwarding.streams import origins
from toucanrudder.forwarding.streams import software as software_versions
from toucanrudder.observability import decisions
from toucanrudder.peers import messages as peer_messages
from toucanrudder.peers import origins as messages
from toucanrudder.store import continuity

STEP = "resume"

#: Allowed beside the time limits of requests: connections, clocks' drift.
WINDOW_MARGIN_S = 1.0

#: Longest time for which callers take a stream up again.  What a caller states
#: when it returns is what is left of its wait, so it does not bound the age of
#: its stream.
MAX_WAIT_S = 120.0

#: ``Retry-After`` if none of the routers that may know a stream answered:
#: another router may reach them.
RETRY_AFTER_S = 0.1

#: Time between two ticks from which on heartbeats may have waited unread, and
#: time after it within which the router reads them.
UNREAD_S = 0.4
READING_S = 0.3

#: Distance of the orders of two attempts of one router; a peer that takes a
#: request over uses those in between.
ORDERS_PER_ATTEMPT = 8


def key_of(match: routing.RouteMatch) -> bytes | None:
    """Return the key of a request's stream; None if it names none."""
    if not match.call.stream_id:
        return None
    organisation = match.organisation.name if match.organisation else ""
    return origins.stream_key(organisation, match.call.stream_id)


@attrs.define(eq=False)
class StreamResumption:
    """Knows what began streams, and which upstreams may continue them.

    Parameters
    ----------
    registry : registries.Registry
        The upstreams of all services.
    timeouts_s : callable
        Returns the longest timeout of resumable streams by service.
    directory : directories.OriginDirectory
        Origins of streams.
    has_silent_peer : callable
        Returns whether a router fell silent that was not stopping.
    max_wait_s : float
        Longest time for which callers take a stream up again.
    """

    registry: registries.Registry
    timeouts_s: Callable[[], Mapping[str, float]]
    directory: directories.OriginDirectory
    has_silent_peer: Callable[[], bool] = lambda: False
    software: software_versions.SoftwareVersions = attrs.field(
        factory=software_versions.SoftwareVersions
    )
    max_wait_s: float = MAX_WAIT_S
    _ticked_s: float | None = None
    _resumed_s: float = float("-inf")
    _read_old_until_s: float = float("-inf")

    # What is known of upstreams' software.

    def is_current(self, now_s: float) -> bool:
        """Return whether this router would know of new software by now.

        Either the registry has answered some known router a short time ago,
        or it answers none, and all routers that could know more are heard.
        None has been heard right after a standstill of this router.
        """
        if not self.registry.has_listing or self._stood_still(now_s):
            return False
        span = self.registry.served
        if span and now_s - span.until_s <= software_versions.MAX_NEWS_AGE_S:
            return True
        if now_s - self._resumed_s <= software_versions.MAX_NEWS_AGE_S:
            return False
        return not self.has_silent_peer()

    def _gap_s(self, now_s: float) -> float:
        """Return the time since the last tick."""
        return 0.0 if self._ticked_s is None else now_s - self._ticked_s

    def _stood_still(self, now_s: float) -> bool:
        """Return whether this router has not run for a while."""
        return self._gap_s(now_s) > software_versions.MAX_GAP_S

    def _may_read_old_news(self, now_s: float) -> bool:
        """Return whether what is read now may have waited unread."""
        return self._gap_s(now_s) > UNREAD_S or now_s <= self._read_old_until_s

    def merge(
        self,
        news: peer_messages.SoftwareNews,
        served: peer_messages.Served | None,
        now_s: float,
    ) -> None:
        """Merge what a peer knows of software and of the registry's answers.

        Parameters
        ----------
        news : peer_messages.SoftwareNews
            The versions that it has seen.
        served : peer_messages.Served or None
            Time span in which the registry answered calls.
        now_s : float
            Monotonic time.
        """
        self.software.merge(news, now_s)
        if served is None or self._may_read_old_news(now_s):
            return
        until_s = now_s - served.age_s
        self.registry.add_served_span(
            continuity.Span(until_s - served.for_s, until_s)
        )

    def observe(self, now_s: float) -> None:
        """Record the software of the registered upstreams."""
        self.software.observe(
            self.registry.upstreams(), now_s, is_current=self.is_current(now_s)
        )

    def tick(self, now_s: float) -> None:
        """Observe periodically; a late tick shows a standstill."""
        if self._gap_s(now_s) > UNREAD_S:
            self._read_old_until_s = now_s + READING_S
        if self._stood_still(now_s):
            self._resumed_s = now_s
        self._ticked_s = now_s
        self.observe(now_s)

    def news(self, now_s: float) -> peer_messages.SoftwareNews:
        """Return what peers are told of upstreams' software."""
        news = self.software.news(now_s)
        if self.is_current(now_s):
            return news
        return attrs.evolve(news, complete_for_s=None)

    def sole_version(self, service: str, now_s: float) -> str | None:
        """Return the software that has begun all streams of a service.

        None if there may have been several versions.
        """
        if not self.is_current(now_s):
            return None
        return self.software.sole_version(
            service, self.window_s(service), now_s
        )

    def is_new(self, upstream: model.Upstream) -> bool:
        """Return whether some routers may not know of its software yet."""
        return self.software.is_new(
            upstream.service, upstream.software_version, clock.now_s()
        )

    def window_s(self, service: str) -> float:
        """Return how long after its start a stream may still be taken up."""
        timeout_s = self.timeouts_s().get(service, 0.0)
        window_s = (
            timeout_s + max(timeout_s, self.max_wait_s) + WINDOW_MARGIN_S
        )
        return min(window_s, messages.MAX_KEPT_S)

    def shared_services(self, now_s: float) -> set[str]:
        """Return the services whose streams other routers need to know."""
        return {
            service
            for service in self.timeouts_s()
            if self.sole_version(service, now_s) is None
        }

    # Streams.

    def record(
        self,
        match: routing.RouteMatch,
        upstream: model.Upstream,
        order: int,
        now_s: float,
    ) -> None:
        """Record an attempt that may begin, or continue, a stream.

        Parameters
        ----------
        match : routing.RouteMatch
            The request.
        upstream : model.Upstream
            Where it is sent.
        order : int
            Rises with each attempt of the request.
        now_s : float
            Monotonic time.
        """
        if match.route.repetition is not model.Repetition.RESUMABLE:
            return
        key = key_of(match)
        if key is None:
            return
        service = upstream.service
        is_shared = len(match.route.services) > 1 or (
            self.sole_version(service, now_s) is None
        )
        self.directory.record(
            messages.OriginRecord(
                key,
                service,
                upstream.software_version,
                order,
                self.window_s(service),
            ),
            now_s,
            is_shared=is_shared,
        )

    async def settled(self, match: routing.RouteMatch) -> None:
        """Wait until no router would take the stream up at other software.

        Otherwise a caller that returns right after the first event may meet
        one that knows of an earlier attempt only.
        """
        key = key_of(match)
        if key is not None:
            await self.directory.settled(key)

    async def find(self, match: routing.RouteMatch) -> origins.Origin | None:
        """Return what began a stream that a caller takes up; None if new.

        Raises
        ------
        RudderError
            ``stream_origin_unknown``: nobody knows what began it;
            ``stream_software_gone``: its service is not used any more.
        """
        call, route = match.call, match.route
        if call.resume_after is None or not route.is_stream:
            return None
        began_s = clock.now_s()
        key = key_of(match)
        source, finding = "local", directories.Finding(None)
        if key is not None:
            record = self.directory.table.get(key, began_s)
            finding = directories.Finding(record)
        origin = _origin(finding.record)
        if origin is None:
            source, origin = "sole version", self._sole_origin(route, began_s)
        if origin is None and key is not None:
            source, finding = "owners", await self.directory.find(key)
            origin = _origin(finding.record)
        decisions.record(
            decisions.StreamResumed(
                request_id=call.request_id,
                resumes=call.resumes,
                route=route.name,
                source=source if origin else "",
                service=origin.service if origin else "",
                software_version=origin.software_version if origin else None,
                asked=finding.asked,
                answered=finding.answered,
                took_s=clock.now_s() - began_s,
            )
        )
        if origin is None:
            raise _unknown_error(finding)
        if origin.service not in route.services:
            raise gone_error(origin)
        return origin

    def _sole_origin(
        self, route: model.Route, now_s: float
    ) -> origins.Origin | None:
        if len(route.services) != 1:
            return None
        (service,) = route.services
        version = self.sole_version(service, now_s)
        return None if version is None else origins.Origin(service, version)


def _origin(record: messages.OriginRecord | None) -> origins.Origin | None:
    if record is None:
        return None
    return origins.Origin(record.service, record.software_version)


def _unknown_error(finding: directories.Finding) -> errors.RudderError:
    is_unanswered = finding.asked > 0 and not finding.answered
    return errors.RudderError(
        errors.Code.STREAM_ORIGIN_UNKNOWN,
        "it is not known which software began the stream, and no other may"
        " continue it; send the request without the last event's ID",
        step=STEP,
        retry_after_s=RETRY_AFTER_S if is_unanswered else None,
    )


def gone_error(origin: origins.Origin) -> errors.RudderError:
    """Return the error for a stream that nothing can continue any more."""
    return errors.RudderError(
        errors.Code.STREAM_SOFTWARE_GONE,
        "no upstream has the software that began the stream any more; send"
        " the request without the last event's ID",
        step=STEP,
        peer=origin.service,
    )

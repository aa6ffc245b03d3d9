"""What requests cost, and what servers still have to do.  No I/O.

One object of each router, which is told of answers and of what peers say,
and is asked for each request.  It covers only uneven services: those where
an upstream has stated a slowness, and those configured to be.
"""

from collections.abc import Container
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
import heapq
import math

import attrs

from toucanrudder.costs import calibration as calibrations
from toucanrudder.costs import forecast as forecasts
from toucanrudder.costs import servers
from toucanrudder.costs import work as works

#: Values that are expected before the first answer: events of a stream, and
#: seconds of a plain request.
TYPICAL_EVENTS = 20.0
TYPICAL_SECONDS = 0.03

#: Time constant in seconds with which a stated load is forgotten.
LOAD_DECAY_S = 0.3


@attrs.define
class ServerCost:
    """What is expected of one process for the next request.

    Parameters
    ----------
    view : servers.ServerView
        Its time factor and slowness.
    work_left_s : float
        Usual seconds of work that it has to do before.
    """

    view: servers.ServerView = servers.USUAL
    work_left_s: float = 0.0


@attrs.define(eq=False)
class Running:
    """A request in flight, with what was expected of it.

    Parameters
    ----------
    service, incarnation : str
        Where it runs.
    keys : tuple of hashable
        Its groups, the coarsest first.
    forecast : forecasts.Forecast
        Its likely events, or seconds if it is plain.
    tokens : int or None
        Prompt tokens to be read; None if it is plain.
    queued_s : float
        Usual seconds of work that was before it.
    sent_at_s : float
        Monotonic time at which it was sent.
    work : works.RunningWork
        Its work left.
    """

    service: str
    incarnation: str
    keys: tuple[Hashable, ...]
    forecast: forecasts.Forecast
    tokens: int | None
    queued_s: float
    sent_at_s: float
    work: works.RunningWork
    is_counted: bool = True


class RequestCosts:
    """Learns and answers what requests cost.

    Parameters
    ----------
    configured : iterable of str
        Services that are uneven by configuration.
    """

    def __init__(self, configured: Iterable[str] = ()):
        self.servers = servers.ServerModels()
        self.calibrations: dict[str, calibrations.Calibration] = {}
        self._configured = frozenset(configured)
        self._stating: dict[str, set[str]] = {}
        self._events = forecasts.Forecasts(TYPICAL_EVENTS)
        self._seconds = forecasts.Forecasts(TYPICAL_SECONDS)
        self._times: dict[str, works.UsualTimes] = {}
        self._own = works.OwnWork()
        self._peers = works.PeerWork()
        self._told_at: dict[str, int] = {}
        self._beat = 0

    def is_uneven(self, service: str) -> bool:
        """Whether costs are used for a service."""
        return service in self._stating or service in self._configured

    def times(self, service: str) -> works.UsualTimes:
        """Return the usual times of a service's prompts."""
        times = self._times.get(service)
        if times is None:
            times = self._times[service] = works.UsualTimes()
        return times

    def record_stated(
        self, service: str, incarnation: str, slowness: float, now_s: float
    ) -> None:
        """Record the slowness that an answer states."""
        self._stating.setdefault(service, set()).add(incarnation)
        self.servers.record_stated(incarnation, slowness, now_s)

    def cost(
        self,
        incarnation: str,
        now_s: float,
        *,
        stated_s: float = 0.0,
        stated_age_s: float = float("inf"),
    ) -> ServerCost:
        """Return what is expected of a process.

        Parameters
        ----------
        incarnation : str
            The process.
        now_s : float
            Monotonic time.
        stated_s : float
            Usual seconds of work that its stated load amounts to at least.
        stated_age_s : float
            Seconds since it stated that.
        """
        view = self.servers.view(incarnation, now_s)
        left_s = self._peers.left_s(incarnation, now_s)
        if self._own.has(incarnation):
            left_s += self._own.left_s(incarnation, view.stretch, now_s)
        if stated_s:
            stated_s *= math.exp(-max(0.0, stated_age_s) / LOAD_DECAY_S)
        return ServerCost(view, max(left_s, stated_s))

    def plain_forecast(self, keys: tuple[Hashable, ...]) -> forecasts.Forecast:
        """Return the likely seconds of a plain request."""
        return self._seconds.forecast(keys)

    def events_forecast(
        self, keys: tuple[Hashable, ...]
    ) -> forecasts.Forecast:
        """Return the likely events of a stream."""
        return self._events.forecast(keys)

    def begin(
        self,
        keys: tuple[Hashable, ...],
        incarnation: str,
        tokens: int | None,
        now_s: float,
    ) -> Running:
        """Count a request that is sent to a process.

        Parameters
        ----------
        keys : tuple of hashable
            Its groups, see `forecast.keys`.
        incarnation : str
            The process.
        tokens : int or None
            Prompt tokens that it has to read; None for a plain request.
        now_s : float
            Monotonic time.
        """
        service = keys[0][0]
        queued_s = self.cost(incarnation, now_s).work_left_s
        if tokens is None:
            forecast = self._seconds.forecast(keys)
            left_s = forecast.remaining
        else:
            forecast = self._events.forecast(keys)
            times = self.times(service)
            left_s = works.remaining_prefill_s(times.token_s * tokens)
        running = Running(
            service,
            incarnation,
            keys,
            forecast,
            tokens,
            queued_s,
            now_s,
            works.RunningWork(now_s, left_s),
        )
        self._own.add(incarnation, running.work)
        return running

    def record_sent(self, running: Running, now_s: float) -> None:
        """Record that the request was sent just now."""
        running.sent_at_s = running.work.began_s = now_s

    def end(self, running: Running) -> None:
        """Count a request no more."""
        self._own.remove(running.incarnation, running.work)

    def record_first_event(
        self, running: Running, now_s: float, *, is_copied: bool = False
    ) -> None:
        """Record the first event of a stream: its prompt has been read.

        Parameters
        ----------
        running : Running
            The request.
        now_s : float
            Monotonic time.
        is_copied : bool
            Whether parts were copied, which takes other time.
        """
        if not running.is_counted or running.tokens is None:
            return
        running.is_counted = False
        self.end(running)
        if is_copied:
            return
        took_s = now_s - running.sent_at_s
        times = self.times(running.service)
        usual_s = times.expected_s(running.tokens) + running.queued_s
        view = self.servers.view(running.incarnation, now_s)
        self.servers.record_answer(running.incarnation, took_s, usual_s, now_s)
        # The work in the queue is done at the speed of the process.
        waited_s = running.queued_s * view.time_factor
        times.record(running.tokens, took_s / view.slowness - waited_s)

    def record_events(self, running: Running, events: int) -> None:
        """Record how many events a complete stream had."""
        self._calibrate("events", running, events)
        self._events.record(running.keys, events)

    def record_answer(self, running: Running, now_s: float) -> None:
        """Record the complete answer to a plain request."""
        took_s = now_s - running.sent_at_s
        view = self.servers.view(running.incarnation, now_s)
        # The sample is a logarithm, whose middle is that of the median.
        expected_s = running.forecast.quantile(0.5)
        self.servers.record_answer(
            running.incarnation, took_s, expected_s, now_s
        )
        # Not divided by the time factor: the usual time is that of all
        # processes, which fixes what the factors are relative to.
        usual_s = took_s / view.slowness
        self._calibrate("seconds", running, usual_s)
        self._seconds.record(running.keys, usual_s)

    def record_cut(self, running: Running, events: int, now_s: float) -> None:
        """Record that a request was cut off, timed out or broke."""
        if running.tokens is not None:
            self._events.record_censored(running.keys, events)
            return
        view = self.servers.view(running.incarnation, now_s)
        ran_s = (now_s - running.sent_at_s) / view.slowness
        self._seconds.record_censored(running.keys, ran_s)

    def take_told(
        self, now_s: float, preferred: Container[str], count: int
    ) -> dict[str, servers.Told]:
        """Return what to tell a peer of at most this many processes.

        Besides the preferred ones, those with the newest statements go
        first, and the others in turn.
        """
        told = {entry.upstream: entry for entry in self.servers.own(now_s)}
        if len(told) <= count:
            return told

        def urgency(name: str) -> tuple[bool, float, int]:
            entry = told[name]
            is_stated = entry.slowness is not None
            age_s = entry.slowness_age_s if is_stated else math.inf
            return name not in preferred, age_s, self._told_at.get(name, 0)

        self._beat += 1
        chosen = heapq.nsmallest(count, told, key=urgency)
        self._told_at.update(dict.fromkeys(chosen, self._beat))
        return {name: told[name] for name in chosen}

    def told_work_s(self, now_s: float) -> dict[str, float]:
        """Return this router's own work left by process, to tell peers."""
        return {
            name: self._own.left_s(
                name, self.servers.view(name, now_s).stretch, now_s
            )
            for name in self._own.in_use()
        }

    def merge(
        self,
        sender: str,
        entries: Iterable[servers.Told],
        work_s: dict[str, float],
        services: Mapping[str, str],
        *,
        others: int,
        now_s: float,
    ) -> None:
        """Take what a peer tells.

        Parameters
        ----------
        sender : str
            The peer.
        entries : iterable of servers.Told
            Its estimates, and stated slownesses that it knows.
        work_s : dict of str to float
            Its own work left by process.
        services : mapping of str to str
            Service of each known process; entries of others are dropped.
        others : int
            Number of other routers.
        now_s : float
            Monotonic time.
        """
        known = [entry for entry in entries if entry.upstream in services]
        for entry in known:
            if entry.slowness is not None:
                self._stating.setdefault(services[entry.upstream], set()).add(
                    entry.upstream
                )
        self.servers.merge(sender, known, now_s)
        self._peers.record(
            {name: left for name, left in work_s.items() if name in services},
            others,
            now_s,
        )

    def forecast_errors(self) -> dict[str, float]:
        """Return the error of each kind of forecast, for metrics."""
        return {
            name: calibration.error()
            for name, calibration in self.calibrations.items()
        }

    def forecast_biases(self) -> dict[str, float]:
        """Return the bias of each kind of forecast, for metrics."""
        return {
            name: calibration.bias()
            for name, calibration in self.calibrations.items()
        }

    def retain(self, incarnations: set[str]) -> None:
        """Forget all other processes."""
        self.servers.retain(incarnations)
        self._peers.retain(incarnations)
        for name in set(self._told_at) - set(incarnations):
            del self._told_at[name]
        for service, names in list(self._stating.items()):
            names &= set(incarnations)
            if not names:
                del self._stating[service]

    def _calibrate(self, kind: str, running: Running, seen: float) -> None:
        calibration = self.calibrations.setdefault(
            f"{kind} {running.service}", calibrations.Calibration()
        )
        calibration.record(running.forecast, seen)

"""Execution of a model request, with retries on other engines."""

import logging

import attrs

from toucanrudder import errors
from toucanrudder import quarantine
from toucanrudder import relay
from toucanrudder import retries
from toucanrudder.document import model
from toucanrudder.filters import engine_try
from toucanrudder.filters import exchange as exchanges
from toucanrudder.observability import metrics
from toucanrudder.placement import types
from toucanrudder.relay import sinks
from toucanrudder.upstreams import failures
from toucanrudder.upstreams import loads

LOG = logging.getLogger(__name__)

STEP = "dispatch"

_RETRY_KINDS = {
    failures.Kind.NOT_REACHED: retries.Failure.NOT_CONNECTED,
    failures.Kind.REFUSED: retries.Failure.REFUSED,
    failures.Kind.CRASHED: retries.Failure.BROKEN,
    failures.Kind.BROKEN: retries.Failure.BROKEN,
    failures.Kind.LOST: retries.Failure.BROKEN,
    failures.Kind.SILENT: retries.Failure.TIMEOUT,
    failures.Kind.CROSSED: retries.Failure.CROSSED,
    failures.Kind.ERROR: retries.Failure.FAILED,
}


class RejectedError(Exception):
    """The engine rejected the request; its response is passed on.

    Parameters
    ----------
    failure : failures.UpstreamFailure
        Status and body of the engine's response.
    """

    def __init__(self, failure: failures.UpstreamFailure):
        super().__init__(str(failure))
        self.failure = failure


@attrs.define
class ModelCall:
    """Execution of one model request on one or more engines.

    Parameters
    ----------
    exchange : exchanges.Exchange
        The request.
    sink : sinks.Sink
        Receives the answer.
    sequencer : relay.Sequencer
        Tracks the order of the answer's events.
    software_version : str or None
        Software of the engine that began the answer; None before its first
        event.  Only engines of the same software can continue it.
    """

    exchange: exchanges.Exchange
    sink: sinks.Sink
    sequencer: relay.Sequencer
    tried: set[str] = attrs.field(factory=set)
    tries: int = 0
    may_have_run: bool = False
    crashes: int = 0
    software_version: str | None = None

    async def run(self) -> None:
        """Try engines until the answer is complete, or raise RudderError."""
        try:
            await self._run()
        except errors.RudderError:
            # The caller usually retries a refused request at another
            # router, which must know of the crash, or the request could
            # crash another engine there.
            if self.crashes:
                await self.exchange.state.broadcast_urgent()
            raise

    async def _run(self) -> None:
        state = self.exchange.state
        state.budget(self._pool()).record_request(state.now_s())
        while True:
            decision, isolated = await self._place_with_outcome()
            self.tried.add(decision.upstream)
            self.tries += 1
            report_before = state.loads.get(decision.upstream)
            engine = self._engine_try(decision, isolated)
            try:
                await engine.run()
                return
            except failures.UpstreamFailure as failure:
                if self.sequencer.last and self.software_version is None:
                    # The first report may have come since, and one of a
                    # restarted process as well.
                    self.software_version = _software_of(
                        engine.answered_by,
                        report_before,
                        state.loads.get(decision.upstream),
                    )
                step = self._next_step(failure)
            await state.sleep(step.delay_s)

    def _pool(self) -> str:
        # One retry budget is shared by all engines that serve a model.
        return self.exchange.request.model

    async def _place_with_outcome(self) -> tuple[types.Decision, bool]:
        try:
            return await self._place()
        except errors.RudderError as error:
            if error.retry_after_s is not None:
                error.retry_after_s = self.exchange.state.retry_after_s(
                    self.exchange.state.engines_of(
                        self.exchange.request.model
                    ),
                    error.retry_after_s,
                )
            # Placement runs nothing, but an earlier try may have run the
            # request, so "not run" would be wrong.
            if self.may_have_run:
                error.ran = errors.Ran.UNKNOWN
            raise

    async def _place(self) -> tuple[types.Decision, bool]:
        state = self.exchange.state
        request = self.exchange.request
        standing = state.standing(request)
        if standing is quarantine.Standing.SUSPECT:
            trial = await self._wait_for_trial()
            if trial is not None:
                return _trial_decision(state, trial), True
        now_s = state.now_s()
        engines = self._continuing(state.usable_engines(request.model, now_s))
        # A retry uses an engine that was not tried yet, if there is one.
        engines = self._untried(engines) or engines
        decision = state.place(request, engines, now_s)
        return decision, False

    async def _wait_for_trial(self) -> quarantine.Trial | None:
        state = self.exchange.state
        request = self.exchange.request
        trial = state.plan_trial(request, state.now_s(), self._can_continue)
        while trial is not None and trial.wait_s > 0:
            await state.sleep(trial.wait_s)
            # During the wait, a copy of the request may have crashed
            # another engine, or peers may have reported more suspects.
            # Raises if the request is quarantined by now.
            state.standing(request)
            trial = state.plan_trial(
                request, state.now_s(), self._can_continue
            )
        return trial

    def _software_version(self, name: str) -> str:
        load = self.exchange.state.loads.get(name)
        return load.report.software_version if load else ""

    def _can_continue(self, engine: model.Upstream) -> bool:
        return self.software_version is None or (
            self._software_version(engine.name) == self.software_version
        )

    def _continuing(self, engines):
        """Return the engines that can write the next event of the answer."""
        same = tuple(filter(self._can_continue, engines))
        if engines and not same:
            raise errors.RudderError(
                errors.Code.STREAM_SOFTWARE_GONE,
                "no engine has the software that began the answer",
                step=STEP,
                peer=self.exchange.request.model,
            )
        return same

    def _untried(self, engines):
        return tuple(
            engine for engine in engines if engine.name not in self.tried
        )

    def _engine_try(
        self, decision: types.Decision, isolated: bool
    ) -> engine_try.EngineTry:
        return engine_try.EngineTry(
            exchange=self.exchange,
            sink=self.sink,
            sequencer=self.sequencer,
            decision=decision,
            upstream=self.exchange.state.upstream(decision.upstream),
            isolated=isolated,
            first_event_by_s=self._first_event_by_s(),
            first_try=self.tries == 1,
        )

    def _first_event_by_s(self) -> float:
        # The caller's deadline applies to the first token only.  Applied to
        # a later try, it would keep another engine from continuing a stream
        # that is older than the deadline when its engine fails.
        exchange = self.exchange
        if not self.sequencer.last:
            return exchange.request.first_token_by_s
        limit_s = exchange.document.policy.first_token_deadline_s
        return exchange.state.now_s() + limit_s

    def _next_step(
        self, failure: failures.UpstreamFailure
    ) -> retries.Retry | retries.Continue:
        exchange = self.exchange
        LOG.warning(
            "try failed: %s",
            failure,
            extra={
                "request_id": exchange.request_id,
                "organisation": exchange.request.organisation,
                "step": STEP,
                "peer": failure.upstream,
                "code": failure.kind.value,
            },
        )
        if failure.kind in failures.PRESUMES_CRASH:
            self.crashes += 1
        if failure.kind is failures.Kind.REJECTED:
            raise RejectedError(failure)
        exchange.state.record_failure(failure)
        step = self._decide(failure)
        if isinstance(step, retries.Refuse):
            raise errors.RudderError(
                step.code,
                step.message,
                step=STEP,
                peer=failure.upstream,
                ran=step.ran,
                retry_after_s=step.retry_after_s,
            ) from failure
        if failure.kind not in failures.PROVES_NOT_RUN:
            self.may_have_run = True
        metrics.count_retry(failure.kind.value)
        return step

    def _decide(self, failure: failures.UpstreamFailure):
        exchange = self.exchange
        state = exchange.state
        answer = retries.AnswerState(
            repeatable=True,
            sent_events=self.sequencer.last,
            can_continue=(
                self.sequencer.last > 0 and self.sink.text_so_far() is not None
            ),
            may_have_run=self.may_have_run,
        )
        policy = exchange.document.policy
        return retries.decide(
            _RETRY_KINDS[failure.kind],
            answer,
            tries=self.tries,
            max_tries=policy.max_tries,
            deadline_s=self._first_event_by_s(),
            budget=state.budget(self._pool()),
            rng=state.rng,
            now_s=state.now_s(),
        )


def _software_of(
    incarnation: str, *reports: loads.ReceivedReport | None
) -> str:
    """Return the software of a process by its reports; empty if unknown."""
    for received in reports:
        if received and received.report.incarnation == incarnation:
            return received.report.software_version
    return ""


def _trial_decision(state, trial: quarantine.Trial) -> types.Decision:
    load = state.loads.get(trial.upstream)
    return types.Decision(
        upstream=trial.upstream,
        incarnation=load.report.incarnation if load else "",
        expected_hit_tokens=0,
        expected_wait_s=0.0,
        reason="trial",
    )

"""Last step of a model request: place it, run it, relay the answer."""

import logging
import uuid

from aiohttp import web
import attrs

from toucanrudder import errors
from toucanrudder import quarantine
from toucanrudder import relay
from toucanrudder import retries
from toucanrudder.document import model
from toucanrudder.filters import exchange as exchanges
from toucanrudder.filters import headers
from toucanrudder.observability import metrics
from toucanrudder.placement import types
from toucanrudder.relay import attempt as attempts
from toucanrudder.relay import sinks
from toucanrudder.relay import tokens
from toucanrudder.router import fleet as fleets
from toucanrudder.router import state as states
from toucanrudder.upstreams import engine
from toucanrudder.upstreams import failures
from toucanrudder.upstreams import in_flight

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


@attrs.define
class ModelCall:
    """One request's way over one or more engines.

    Parameters
    ----------
    exchange : exchanges.Exchange
        The request.
    sink : sinks.Sink
        Where its answer goes.
    order : relay.Sequencer
        Order of the answer's events.
    """

    exchange: exchanges.Exchange
    sink: sinks.Sink
    order: relay.Sequencer
    tried: set[str] = attrs.field(factory=set)
    tries: int = 0
    may_have_run: bool = False
    crashes: int = 0

    async def run(self) -> None:
        """Try engines until the answer is whole, or raise RudderError."""
        try:
            await self._run()
        except errors.RudderError:
            # The caller sends a refused request again, usually to another
            # router.  One that had not heard of the crash would let it
            # crash a further engine.
            if self.crashes:
                await self.exchange.state.tell_peers()
            raise

    async def _run(self) -> None:
        state = self.exchange.state
        state.budget(self._pool()).request(state.now_s())
        while True:
            decision, isolated = await self._placed()
            upstream = state.upstream(decision.upstream)
            self.tried.add(decision.upstream)
            self.tries += 1
            try:
                await self._try(decision, upstream, isolated)
                return
            except failures.UpstreamFailure as failure:
                step = self._after(failure)
            await state.sleep(step.delay_s)

    def _pool(self) -> str:
        # The budget bounds retries of the engines that serve one model.
        return self.exchange.request.model

    async def _placed(self) -> tuple[types.Decision, bool]:
        try:
            return await self._place()
        except errors.RudderError as error:
            # Placement itself ran nothing, but an earlier try of this
            # request may have: "not run" would be untrue.
            if self.may_have_run:
                error.ran = errors.Ran.UNKNOWN
            raise

    async def _place(self) -> tuple[types.Decision, bool]:
        state = self.exchange.state
        request = self.exchange.request
        standing = state.standing(request)
        if standing is quarantine.Standing.SUSPECT:
            trial = await self._awaited_trial()
            if trial is not None:
                return _on_trial(state, trial), True
        now_s = state.now_s()
        engines = state.engines_for(request.model, now_s)
        # A second try goes elsewhere if there is an elsewhere.
        engines = self._untried(engines) or engines
        decision = state.place(request, engines, now_s)
        return decision, False

    async def _awaited_trial(self) -> quarantine.Trial | None:
        state = self.exchange.state
        request = self.exchange.request
        trial = state.trial(request, state.now_s())
        while trial is not None and trial.wait_s > 0:
            await state.sleep(trial.wait_s)
            # Meanwhile a copy of it may have crashed another engine, and
            # other routers may have told of more suspects.
            state.standing(request)
            trial = state.trial(request, state.now_s())
        return trial

    def _untried(self, engines):
        return tuple(each for each in engines if each.name not in self.tried)

    async def _try(
        self,
        decision: types.Decision,
        upstream: model.Upstream,
        isolated: bool,
    ) -> None:
        state = self.exchange.state
        request = self.exchange.request
        missing = request.prompt_tokens - decision.expected_hit_tokens
        entry = in_flight.Entry(
            states.fingerprint_of(request),
            prefill_tokens=max(0, missing),
            incarnation=decision.incarnation,
            isolated=isolated,
            priority=int(request.priority),
        )
        attempt = self._attempt(decision, upstream, entry)
        with state.in_flight.entry(upstream.name, entry):
            try:
                async with attempts.cancelled_if_unfinished(
                    attempt, state.spawn
                ):
                    await self._import(decision, upstream, entry)
                    self._believe_sent(decision, upstream)
                    self.sink.at(upstream.name, attempt.call.engine_id)
                    await attempt.run()
            except failures.UpstreamFailure as failure:
                if failure.kind in failures.PRESUMES_CRASH:
                    state.crashed(
                        upstream.name,
                        attempt.answered_by or decision.incarnation,
                    )
                raise
        if isolated:
            state.suspicions.completed(entry.fingerprint, state.wall_s())
        self._learn(decision, upstream, attempt)
        self._export(upstream)

    async def _import(self, decision, upstream, entry) -> None:
        state = self.exchange.state
        store = self.exchange.document.policy.kv_store
        if not store or state.kept is None or self.order.last:
            return
        known = state.loads.get(upstream.name)
        order = state.kept.decide(
            decision,
            fleets.query_of(self.exchange.request),
            known.report.prefill_tokens_per_s if known else 0.0,
            state.now_s(),
        )
        if order is not None:
            tokens = await state.kept.fetch(upstream, order, store)
            entry.prefill_tokens = max(0, entry.prefill_tokens - tokens)

    def _export(self, upstream: model.Upstream) -> None:
        state = self.exchange.state
        store = self.exchange.document.policy.kv_store
        if not store or state.kept is None:
            return
        keys = self.exchange.request.prefix_keys
        hot = state.kept.to_export(keys, state.now_s())
        if hot:
            state.spawn(state.kept.export(upstream, hot, store))

    def _begin_by_s(self) -> float:
        # The caller's deadline is for the first token.  Once that has come
        # it must not stop another engine from going on: any stream that is
        # older than the deadline would break with its engine.
        exchange = self.exchange
        if not self.order.last:
            return exchange.request.first_token_by_s
        limit_s = exchange.document.policy.first_token_deadline_s
        return exchange.state.now_s() + limit_s

    def _attempt(self, decision, upstream, entry) -> attempts.Attempt:
        state = self.exchange.state

        def first() -> None:
            entry.prefill_tokens = 0
            entry.incarnation = attempt.answered_by
            self._record_first_token()

        attempt = attempts.Attempt(
            client=state.engines,
            upstream=upstream,
            call=self._engine_call(),
            order=self.order,
            sink=self.sink,
            patience=state.patience(upstream.name, self._begin_by_s()),
            incarnation=decision.incarnation,
            rng=state.rng,
            on_first=first,
        )
        return attempt

    def _engine_call(self) -> engine.EngineCall:
        request = self.exchange.request
        # Each try has an identity of its own: a caller's may not be
        # unique, and an engine that is tried again may still hold the
        # first try's stream.
        engine_id = uuid.uuid4().hex
        self.order.moved(engine_id.encode())
        body = {
            **request.body,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        if self.order.last:
            body["continue_from"] = {
                "text": self.sink.text_so_far(),
                "events": self.order.last,
            }
        return engine.EngineCall(
            engine_id=engine_id,
            path=request.path,
            body=body,
            priority=int(request.priority),
            salt_hex=self.exchange.state.salt(request.organisation).hex(),
        )

    def _record_first_token(self) -> None:
        exchange = self.exchange
        metrics.histogram(
            "toucanrudder_first_token_seconds", "s", "Time to first token"
        ).record(
            exchange.state.now_s() - exchange.arrived_s,
            {"priority": exchange.request.priority.label},
        )

    def _believe_sent(self, decision, upstream) -> None:
        state = self.exchange.state
        state.beliefs.dispatched(
            upstream.name,
            decision.incarnation,
            self.exchange.request.prefix_keys,
            state.now_s(),
        )

    def _learn(self, decision, upstream, attempt) -> None:
        usage = self.sink.usage() or {}
        details = usage.get("prompt_tokens_details") or {}
        cached = details.get("cached_tokens")
        if cached is None or self.tries > 1:
            # A continued answer's usage speaks of a longer prompt.
            return
        state = self.exchange.state
        if attempt.answered_by != decision.incarnation:
            state.beliefs.replaced(upstream.name, attempt.answered_by)
        state.beliefs.answered(
            upstream.name,
            attempt.answered_by,
            self.exchange.request.prefix_keys,
            expected_tokens=decision.expected_hit_tokens,
            cached_tokens=int(cached),
            now_s=state.now_s(),
            prompt_tokens=int(usage.get("prompt_tokens") or 0),
        )
        _count_hits(decision.expected_hit_tokens, int(cached))

    def _after(
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
            raise _Rejected(failure)
        exchange.state.unreachable(failure)
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
        metrics.retried(failure.kind.value)
        return step

    def _decide(self, failure: failures.UpstreamFailure):
        exchange = self.exchange
        state = exchange.state
        request = exchange.request
        now_s = state.now_s()
        answer = retries.Answer(
            repeatable=True,
            sent_events=self.order.last,
            can_continue=(
                self.order.last > 0 and self.sink.text_so_far() is not None
            ),
            may_have_run=self.may_have_run,
        )
        policy = exchange.document.policy
        # A stream that flows has met its deadline; it may be continued.
        deadline_s = (
            now_s + policy.first_token_deadline_s
            if self.order.last
            else request.first_token_by_s
        )
        return retries.decide(
            _RETRY_KINDS[failure.kind],
            answer,
            tries=self.tries,
            max_tries=policy.max_tries,
            deadline_s=deadline_s,
            budget=state.budget(self._pool()),
            rng=state.rng,
            now_s=now_s,
        )


def _count_hits(expected_tokens: int, cached_tokens: int) -> None:
    metrics.counter(
        "toucanrudder_expected_hit_tokens",
        "Prompt tokens expected to be cached where requests were sent",
    ).add(expected_tokens)
    metrics.counter(
        "toucanrudder_false_hit_tokens",
        "Those of the expected tokens that were not cached",
    ).add(max(0, expected_tokens - cached_tokens))


class _Rejected(Exception):
    """The engine found the request itself wrong; its words go back."""

    def __init__(self, failure: failures.UpstreamFailure):
        super().__init__(str(failure))
        self.failure = failure


def _on_trial(state, trial: quarantine.Trial) -> types.Decision:
    known = state.loads.get(trial.upstream)
    return types.Decision(
        upstream=trial.upstream,
        incarnation=known.report.incarnation if known else "",
        expected_hit_tokens=0,
        expected_wait_s=0.0,
        reason="trial",
    )


async def dispatch(exchange: exchanges.Exchange) -> web.StreamResponse:
    """Answer a model request."""
    sink = _sink(exchange)
    call = ModelCall(exchange=exchange, sink=sink, order=relay.Sequencer(b""))
    try:
        await call.run()
    except _Rejected as rejected:
        return _rejection(rejected.failure, exchange)
    except errors.RudderError as error:
        if not sink.started:
            raise
        metrics.refused(error.code.value, error.step)
        await sink.fail(error, exchange.request_id)
    return await _finished(exchange, sink)


def _sink(exchange: exchanges.Exchange) -> sinks.Sink:
    if not exchange.request.stream:
        return sinks.WholeSink()
    state = exchange.state

    def token_for(upstream: str, engine_id: str) -> str:
        return tokens.sign(
            state.conf.router.fleet_key,
            tokens.Stream(upstream, engine_id, exchange.organisation.name),
        )

    return sinks.StreamSink(
        exchange.http,
        {headers.REQUEST_ID: exchange.request_id},
        state.conf.router.write_timeout_s,
        token_for=token_for,
    )


async def _finished(exchange, sink) -> web.StreamResponse:
    if isinstance(sink, sinks.StreamSink):
        await sink.response.write_eof()
        return sink.response
    return web.json_response(
        sink.answer(), headers={headers.REQUEST_ID: exchange.request_id}
    )


def _rejection(failure, exchange) -> web.Response:
    metrics.refused("rejected_by_engine", STEP)
    return web.Response(
        body=failure.body,
        status=failure.status,
        content_type="application/json",
        headers={headers.REQUEST_ID: exchange.request_id},
    )

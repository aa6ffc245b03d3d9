"""One try of a model request at one engine."""

import uuid

import attrs

from toucanrudder import relay
from toucanrudder.document import model
from toucanrudder.filters import exchange as exchanges
from toucanrudder.observability import metrics
from toucanrudder.placement import types
from toucanrudder.relay import attempt as attempts
from toucanrudder.relay import sinks
from toucanrudder.router import fleet as fleets
from toucanrudder.router import state as states
from toucanrudder.upstreams import engine
from toucanrudder.upstreams import failures
from toucanrudder.upstreams import in_flight


@attrs.define(eq=False)
class EngineTry:
    """A request at the engine that was chosen for it.

    Parameters
    ----------
    exchange : exchanges.Exchange
        The request.
    sink : sinks.Sink
        Where its answer goes.
    order : relay.Sequencer
        Order of the answer's events, over all tries.
    decision : types.Decision
        The choice, and what is expected of it.
    upstream : model.Upstream
        The engine.
    isolated : bool
        Whether the request is a suspect on trial there.
    begin_by_s : float
        Monotonic time by which this try's first event must have come.
    first_try : bool
        Whether no engine was tried before.
    """

    exchange: exchanges.Exchange
    sink: sinks.Sink
    order: relay.Sequencer
    decision: types.Decision
    upstream: model.Upstream
    isolated: bool
    begin_by_s: float
    first_try: bool

    async def run(self) -> None:
        """Relay the answer to its end.

        Raises
        ------
        UpstreamFailure
            The engine cannot give the rest.
        CallerGone
            Nobody takes the answer.
        """
        state = self.exchange.state
        request = self.exchange.request
        missing = request.prompt_tokens - self.decision.expected_hit_tokens
        entry = in_flight.InFlightRequest(
            states.fingerprint_of(request),
            prefill_tokens=max(0, missing),
            incarnation=self.decision.incarnation,
            isolated=self.isolated,
            priority=int(request.priority),
        )
        attempt = self._attempt(entry)
        with state.in_flight.track(self.upstream.name, entry):
            await self._relay(attempt, entry)
        if self.isolated:
            state.suspicions.record_completion(
                entry.fingerprint, state.wall_s()
            )
        self._learn(attempt)
        self._export()

    async def _relay(
        self, attempt: attempts.Attempt, entry: in_flight.InFlightRequest
    ) -> None:
        state = self.exchange.state
        try:
            async with attempts.cancelled_if_unfinished(attempt, state.spawn):
                await self._import(entry)
                self._believe_sent()
                self.sink.at(self.upstream.name, attempt.call.engine_id)
                await attempt.run()
        except failures.UpstreamFailure as failure:
            # Here, while this request and all others of the batch are
            # still counted as being at the engine.
            if failure.kind in failures.PRESUMES_CRASH:
                state.crashed(
                    self.upstream.name,
                    attempt.answered_by or self.decision.incarnation,
                )
            raise

    async def _import(self, entry: in_flight.InFlightRequest) -> None:
        state = self.exchange.state
        store = self.exchange.document.policy.kv_store
        if not store or state.kept is None or self.order.last:
            return
        known = state.loads.get(self.upstream.name)
        order = state.kept.plan_import(
            self.decision,
            fleets.query_of(self.exchange.request),
            known.report.prefill_tokens_per_s if known else 0.0,
            state.now_s(),
        )
        if order is not None:
            tokens = await state.kept.import_blocks(
                self.upstream, order, store
            )
            entry.prefill_tokens = max(0, entry.prefill_tokens - tokens)

    def _export(self) -> None:
        state = self.exchange.state
        store = self.exchange.document.policy.kv_store
        if not store or state.kept is None:
            return
        keys = self.exchange.request.prefix_keys
        hot = state.kept.keys_to_export(keys, state.now_s())
        if hot:
            state.spawn(state.kept.export(self.upstream, hot, store))

    def _attempt(self, entry: in_flight.InFlightRequest) -> attempts.Attempt:
        state = self.exchange.state

        def first() -> None:
            entry.prefill_tokens = 0
            entry.incarnation = attempt.answered_by
            self._record_first_token()

        attempt = attempts.Attempt(
            client=state.engines,
            upstream=self.upstream,
            call=self._engine_call(),
            order=self.order,
            sink=self.sink,
            patience=state.patience(self.upstream.name, self.begin_by_s),
            incarnation=self.decision.incarnation,
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

    def _believe_sent(self) -> None:
        state = self.exchange.state
        state.beliefs.record_dispatch(
            self.upstream.name,
            self.decision.incarnation,
            self.exchange.request.prefix_keys,
            state.now_s(),
        )

    def _learn(self, attempt: attempts.Attempt) -> None:
        usage = self.sink.usage() or {}
        details = usage.get("prompt_tokens_details") or {}
        cached = details.get("cached_tokens")
        if cached is None or not self.first_try:
            # A continued answer's usage speaks of a longer prompt.
            return
        state = self.exchange.state
        if attempt.answered_by != self.decision.incarnation:
            state.beliefs.forget_replaced(
                self.upstream.name, attempt.answered_by
            )
        state.beliefs.record_answer(
            self.upstream.name,
            attempt.answered_by,
            self.exchange.request.prefix_keys,
            expected_tokens=self.decision.expected_hit_tokens,
            cached_tokens=int(cached),
            now_s=state.now_s(),
            prompt_tokens=int(usage.get("prompt_tokens") or 0),
        )
        _count_hits(self.decision.expected_hit_tokens, int(cached))


def _count_hits(expected_tokens: int, cached_tokens: int) -> None:
    metrics.counter(
        "toucanrudder_expected_hit_tokens",
        "Prompt tokens expected to be cached where requests were sent",
    ).add(expected_tokens)
    metrics.counter(
        "toucanrudder_false_hit_tokens",
        "Those of the expected tokens that were not cached",
    ).add(max(0, expected_tokens - cached_tokens))

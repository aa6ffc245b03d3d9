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
    """One try of a model request at the engine chosen for it.

    Parameters
    ----------
    exchange : exchanges.Exchange
        The request.
    sink : sinks.Sink
        Receives the answer.
    sequencer : relay.Sequencer
        Tracks the order of the answer's events across all tries.
    decision : types.Decision
        The placement decision, with its expected wait and cache hits.
    upstream : model.Upstream
        The engine.
    isolated : bool
        Whether the request is a suspect on trial at this engine.
    first_event_by_s : float
        Deadline of this try's first event, in monotonic time.
    first_try : bool
        Whether this is the request's first try.
    answered_by : str
        Incarnation of the process that has sent events; empty before.
    """

    exchange: exchanges.Exchange
    sink: sinks.Sink
    sequencer: relay.Sequencer
    decision: types.Decision
    upstream: model.Upstream
    isolated: bool
    first_event_by_s: float
    first_try: bool
    answered_by: str = ""

    async def run(self) -> None:
        """Relay the answer to its end.

        Raises
        ------
        UpstreamFailure
            The engine cannot complete the answer.
        CallerGone
            The caller disconnected or does not read.
        """
        state = self.exchange.state
        request = self.exchange.request
        entry = state.in_flight_entry(request, self.decision, self.isolated)
        attempt = self._attempt(entry)
        with state.in_flight.track(self.upstream.name, entry):
            await self._relay(attempt, entry)
        if self.isolated:
            state.suspects.record_completion(entry.fingerprint, state.wall_s())
        state.suspects.record_answered(
            states.part_fingerprints(request), state.wall_s()
        )
        self._record_cache_hits(attempt)
        self._export()

    async def _relay(
        self, attempt: attempts.Attempt, entry: in_flight.InFlightRequest
    ) -> None:
        state = self.exchange.state
        try:
            async with attempts.cancelled_if_unfinished(attempt, state.spawn):
                await self._import(entry)
                self._record_dispatch()
                self.sink.set_source(
                    self.upstream.name, attempt.call.engine_id
                )
                await attempt.run()
        except failures.UpstreamFailure as failure:
            # Recorded here, while this request and the others in the
            # engine's batch are still tracked as in flight: all of them
            # are suspects.
            if failure.kind in failures.PRESUMES_CRASH:
                state.record_crash(
                    self.upstream.name,
                    attempt.answered_by or self.decision.incarnation,
                )
            raise

    async def _import(self, entry: in_flight.InFlightRequest) -> None:
        state = self.exchange.state
        store = self.exchange.document.policy.kv_store
        if not store or state.kv_transfers is None or self.sequencer.last:
            return
        load = state.loads.get(self.upstream.name)
        plan = state.kv_transfers.plan_import(
            self.decision,
            fleets.placement_query(self.exchange.request),
            load.report.prefill_tokens_per_s if load else 0.0,
            state.now_s(),
        )
        if plan is not None:
            tokens = await state.kv_transfers.import_blocks(
                self.upstream, plan, store
            )
            entry.prefill_tokens = max(0, entry.prefill_tokens - tokens)

    def _export(self) -> None:
        state = self.exchange.state
        store = self.exchange.document.policy.kv_store
        if not store or state.kv_transfers is None:
            return
        keys = self.exchange.request.prefix_keys
        hot_keys = state.kv_transfers.keys_to_export(keys, state.now_s())
        if hot_keys:
            state.spawn(
                state.kv_transfers.export(self.upstream, hot_keys, store)
            )

    def _attempt(self, entry: in_flight.InFlightRequest) -> attempts.Attempt:
        state = self.exchange.state

        def on_first_event() -> None:
            self.answered_by = attempt.answered_by
            entry.record_first_event(attempt.answered_by)
            self._record_first_token()

        attempt = attempts.Attempt(
            client=state.engines,
            upstream=self.upstream,
            call=self._engine_call(),
            sequencer=self.sequencer,
            sink=self.sink,
            limits=state.patience(self.upstream.name, self.first_event_by_s),
            incarnation=self.decision.incarnation,
            rng=state.rng,
            on_first_event=on_first_event,
            partial_events=state.engines.partial_events,
        )
        return attempt

    def _engine_call(self) -> engine.EngineCall:
        request = self.exchange.request
        # Each try has its own ID: a caller's request ID may not be unique,
        # and an engine that is tried again may still hold the stream of an
        # earlier try.
        engine_id = uuid.uuid4().hex
        self.sequencer.set_identity(engine_id.encode())
        body = {
            **request.body,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        if self.sequencer.last:
            body["continue_from"] = {
                "text": self.sink.text_so_far(),
                "events": self.sequencer.last,
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

    def _record_dispatch(self) -> None:
        state = self.exchange.state
        state.prefix_index.record_dispatch(
            self.upstream.name,
            self.decision.incarnation,
            self.exchange.request.prefix_keys,
            state.now_s(),
        )

    def _record_cache_hits(self, attempt: attempts.Attempt) -> None:
        usage = self.sink.usage() or {}
        details = usage.get("prompt_tokens_details") or {}
        cached = details.get("cached_tokens")
        if cached is None or not self.first_try:
            # A continuation's usage counts the earlier text as prompt.
            return
        state = self.exchange.state
        if attempt.answered_by != self.decision.incarnation:
            state.prefix_index.forget_replaced(
                self.upstream.name, attempt.answered_by
            )
        state.prefix_index.record_answer(
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

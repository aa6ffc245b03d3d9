"""Handler that resumes a stream started at this or another router."""

from aiohttp import web

from toucanrudder import errors
from toucanrudder import relay
from toucanrudder.document import model
from toucanrudder.filters import exchange as exchanges
from toucanrudder.filters import headers
from toucanrudder.relay import attempt as attempts
from toucanrudder.relay import sinks
from toucanrudder.relay import tokens
from toucanrudder.upstreams import engine
from toucanrudder.upstreams import failures

STEP = "resume"
RETRY_AFTER_S = 1.0


def _find_upstream(
    exchange: exchanges.Exchange, stream: tokens.Stream
) -> model.Upstream:
    # A valid token may have been passed to another organisation; it may
    # be used only by the organisation whose stream it names.
    upstream = exchange.state.upstream(stream.upstream)
    if upstream is None or stream.organisation != exchange.organisation.name:
        raise _unknown_stream(stream.upstream)
    return upstream


def _unknown_stream(peer: str) -> errors.RudderError:
    return errors.RudderError(
        errors.Code.UNKNOWN_STREAM,
        "the stream has ended or is unknown",
        step=STEP,
        peer=peer,
        ran=errors.Ran.UNKNOWN,
    )


def _create_attempt(
    exchange, upstream, stream, last_event
) -> attempts.Attempt:
    state = exchange.state
    sink = sinks.StreamSink(
        exchange.http,
        {headers.REQUEST_ID: exchange.request_id},
        state.conf.router.write_timeout_s,
        token_for=lambda *_: exchange.http.match_info["token"],
    )
    sink.set_source(upstream.name, stream.engine_id)
    return attempts.Attempt(
        client=state.engines,
        upstream=upstream,
        call=engine.EngineCall(stream.engine_id, "", {}, 0, ""),
        sequencer=relay.Sequencer(stream.engine_id.encode(), last=last_event),
        sink=sink,
        limits=state.patience(
            upstream.name,
            state.now_s() + exchange.document.policy.first_token_deadline_s,
        ),
        incarnation="",
        rng=state.rng,
        on_first_event=lambda: None,
        partial_events=state.engines.partial_events,
    )


async def resume(exchange: exchanges.Exchange) -> web.StreamResponse:
    """Relay the rest of the stream named by the resume token."""
    state = exchange.state
    last_event = headers.last_event_number(exchange.http)
    stream = tokens.verify(
        state.conf.router.fleet_key, exchange.http.match_info["token"]
    )
    upstream = _find_upstream(exchange, stream)
    attempt = _create_attempt(exchange, upstream, stream, last_event)
    try:
        async with attempts.cancelled_if_unfinished(attempt, state.spawn):
            await attempt.resume()
    except failures.UpstreamFailure as failure:
        error = _resume_error(failure)
        if not attempt.sink.started:
            raise error from failure
        await attempt.sink.fail(error, exchange.request_id)
    await attempt.sink.response.write_eof()
    return attempt.sink.response


def _resume_error(failure: failures.UpstreamFailure) -> errors.RudderError:
    if failure.kind in (failures.Kind.LOST, failures.Kind.CRASHED):
        return _unknown_stream(failure.upstream)
    return errors.RudderError(
        errors.Code.STREAM_BROKEN,
        "the stream is temporarily unreachable",
        step=STEP,
        peer=failure.upstream,
        ran=errors.Ran.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )

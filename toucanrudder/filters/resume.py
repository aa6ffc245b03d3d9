"""Resumes a stream that another router had started, or this one."""

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


def _find(
    exchange: exchanges.Exchange, stream: tokens.Stream
) -> model.Upstream:
    # The token is signed, but it may have been handed on: it serves only
    # the organisation whose stream it names.
    upstream = exchange.state.upstream(stream.upstream)
    if upstream is None or stream.organisation != exchange.organisation.name:
        raise _unknown(stream.upstream)
    return upstream


def _unknown(peer: str) -> errors.RudderError:
    return errors.RudderError(
        errors.Code.UNKNOWN_STREAM,
        "the stream is over or was never here",
        step=STEP,
        peer=peer,
        ran=errors.Ran.UNKNOWN,
    )


def _attempt(exchange, upstream, stream, after) -> attempts.Attempt:
    state = exchange.state
    sink = sinks.StreamSink(
        exchange.http,
        {headers.REQUEST_ID: exchange.request_id},
        state.conf.router.write_timeout_s,
        token_for=lambda *_: exchange.http.match_info["token"],
    )
    sink.at(upstream.name, stream.engine_id)
    return attempts.Attempt(
        client=state.engines,
        upstream=upstream,
        call=engine.EngineCall(stream.engine_id, "", {}, 0, ""),
        order=relay.Sequencer(stream.engine_id.encode(), last=after),
        sink=sink,
        patience=state.patience(
            upstream.name,
            state.now_s() + exchange.document.policy.first_token_deadline_s,
        ),
        incarnation="",
        rng=state.rng,
        on_first=lambda: None,
    )


async def resume(exchange: exchanges.Exchange) -> web.StreamResponse:
    """Relay the rest of the stream that the token names."""
    state = exchange.state
    after = headers.event_number(exchange.http)
    stream = tokens.verify(
        state.conf.router.fleet_key, exchange.http.match_info["token"]
    )
    upstream = _find(exchange, stream)
    attempt = _attempt(exchange, upstream, stream, after)
    try:
        async with attempts.cancelled_if_unfinished(attempt, state.spawn):
            await attempt.resume()
    except failures.UpstreamFailure as failure:
        error = _refusal(failure)
        if not attempt.sink.started:
            raise error from failure
        await attempt.sink.fail(error, exchange.request_id)
    await attempt.sink.response.write_eof()
    return attempt.sink.response


def _refusal(failure: failures.UpstreamFailure) -> errors.RudderError:
    if failure.kind in (failures.Kind.LOST, failures.Kind.CRASHED):
        return _unknown(failure.upstream)
    return errors.RudderError(
        errors.Code.STREAM_BROKEN,
        "the stream cannot be reached now",
        step=STEP,
        peer=failure.upstream,
        ran=errors.Ran.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )

"""Innermost handler of model requests: runs them and responds."""

from aiohttp import web

from toucanrudder import errors
from toucanrudder import relay
from toucanrudder.filters import exchange as exchanges
from toucanrudder.filters import headers
from toucanrudder.filters import model_call
from toucanrudder.observability import metrics
from toucanrudder.relay import sinks
from toucanrudder.relay import tokens


async def dispatch(exchange: exchanges.Exchange) -> web.StreamResponse:
    """Run a model request and return its response."""
    sink = _create_sink(exchange)
    call = model_call.ModelCall(
        exchange=exchange, sink=sink, sequencer=relay.Sequencer(b"")
    )
    try:
        await call.run()
    except model_call.RejectedError as rejected:
        return _rejection_response(rejected.failure, exchange)
    except errors.RudderError as error:
        if not sink.started:
            raise
        metrics.count_refusal(error.code.value, error.step)
        await sink.fail(error, exchange.request_id)
    return await _finish_response(exchange, sink)


def _create_sink(exchange: exchanges.Exchange) -> sinks.Sink:
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


async def _finish_response(exchange, sink) -> web.StreamResponse:
    if isinstance(sink, sinks.StreamSink):
        await sink.response.write_eof()
        return sink.response
    return web.json_response(
        sink.answer(), headers={headers.REQUEST_ID: exchange.request_id}
    )


def _rejection_response(failure, exchange) -> web.Response:
    metrics.count_refusal("rejected_by_engine", model_call.STEP)
    response_headers = {headers.REQUEST_ID: exchange.request_id}
    if failure.body:
        return web.Response(
            body=failure.body,
            status=failure.status,
            content_type="application/json",
            headers=response_headers,
        )
    error = errors.RudderError(
        errors.Code.INVALID_REQUEST,
        "the engine rejected the request and gave no whole reason",
        step=model_call.STEP,
        peer=failure.upstream,
        ran=failure.ran,
    )
    return web.json_response(
        error.as_body(exchange.request_id),
        status=failure.status,
        headers=response_headers,
    )

"""Error codes that callers and operators may receive."""

import enum
import http

import attrs


class Ran(enum.Enum):
    """Whether a refused request was executed.

    ``NOT_RUN`` guarantees that no upstream can have started the request.
    Code that cannot prove this must report ``UNKNOWN``.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"
    DONE = "done"


class Code(enum.Enum):
    """Error codes; the values are sent over the wire."""

    MALFORMED_JSON = "malformed_json"
    INVALID_REQUEST = "invalid_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    BAD_HEADER = "bad_header"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_STREAM = "unknown_stream"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    ALREADY_STARTED = "already_started"
    ALREADY_DONE = "already_done"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CLAIM_EXPIRED = "claim_expired"
    STORE_UNAVAILABLE = "store_unavailable"
    LIMIT_EXCEEDED = "limit_exceeded"
    QUEUE_FULL = "queue_full"
    MEMORY_FULL = "memory_full"
    WEIGHTS_TOO_OLD = "weights_too_old"
    DEADLINE_UNMET = "deadline_unmet"
    NO_UPSTREAM = "no_upstream"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    UPSTREAM_NOT_REACHED = "upstream_not_reached"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    UPSTREAM_CROSSED_ANSWER = "upstream_crossed_answer"
    STREAM_BROKEN = "stream_broken"
    STREAM_ORIGIN_UNKNOWN = "stream_origin_unknown"
    STREAM_SOFTWARE_GONE = "stream_software_gone"
    QUARANTINED = "quarantined"
    CRASHED_UPSTREAMS = "crashed_upstreams"
    STOPPING = "stopping"
    NOT_CONFIGURED = "not_configured"
    CONFIG_INVALID = "config_invalid"
    CONFIG_CONFLICT = "config_conflict"
    SETTINGS_INVALID = "settings_invalid"
    LEASE_LOST = "lease_lost"
    ORDER_FENCED = "order_fenced"
    PEER_REFUSED = "peer_refused"
    NOT_FOUND = "not_found"
    INTERNAL = "internal"


@attrs.frozen
class Traits:
    """HTTP status and error type that a code is reported with.

    Parameters
    ----------
    status : http.HTTPStatus
        Status of the HTTP response.
    kind : str
        The ``type`` field of an OpenAI-compatible error.
    """

    status: http.HTTPStatus
    kind: str = "invalid_request_error"


_UNAVAILABLE = Traits(http.HTTPStatus.SERVICE_UNAVAILABLE, "server_error")
_BAD_GATEWAY = Traits(http.HTTPStatus.BAD_GATEWAY, "server_error")
_CONFLICT = Traits(http.HTTPStatus.CONFLICT)
_BAD_REQUEST = Traits(http.HTTPStatus.BAD_REQUEST)
_NOT_FOUND = Traits(http.HTTPStatus.NOT_FOUND)

TRAITS = {
    Code.MALFORMED_JSON: _BAD_REQUEST,
    Code.INVALID_REQUEST: _BAD_REQUEST,
    Code.BODY_TOO_LARGE: Traits(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
    Code.BODY_TOO_SLOW: Traits(http.HTTPStatus.REQUEST_TIMEOUT),
    Code.BAD_HEADER: _BAD_REQUEST,
    Code.UNAUTHORIZED: Traits(
        http.HTTPStatus.UNAUTHORIZED, "authentication_error"
    ),
    Code.UNKNOWN_MODEL: _NOT_FOUND,
    Code.UNKNOWN_SERVICE: _NOT_FOUND,
    Code.UNKNOWN_STREAM: _NOT_FOUND,
    Code.IDEMPOTENCY_KEY_REQUIRED: _BAD_REQUEST,
    Code.IDEMPOTENCY_KEY_REUSED: Traits(http.HTTPStatus.UNPROCESSABLE_ENTITY),
    Code.ALREADY_STARTED: _CONFLICT,
    Code.ALREADY_DONE: _CONFLICT,
    Code.OUTCOME_UNKNOWN: _CONFLICT,
    Code.CLAIM_EXPIRED: _UNAVAILABLE,
    Code.STORE_UNAVAILABLE: _UNAVAILABLE,
    Code.LIMIT_EXCEEDED: Traits(
        http.HTTPStatus.TOO_MANY_REQUESTS, "rate_limit_error"
    ),
    Code.QUEUE_FULL: _UNAVAILABLE,
    Code.MEMORY_FULL: _UNAVAILABLE,
    Code.WEIGHTS_TOO_OLD: _UNAVAILABLE,
    Code.DEADLINE_UNMET: _UNAVAILABLE,
    Code.NO_UPSTREAM: _UNAVAILABLE,
    Code.RETRY_BUDGET_SPENT: _UNAVAILABLE,
    Code.UPSTREAM_NOT_REACHED: _UNAVAILABLE,
    Code.UPSTREAM_FAILED: _BAD_GATEWAY,
    Code.UPSTREAM_TIMEOUT: Traits(
        http.HTTPStatus.GATEWAY_TIMEOUT, "server_error"
    ),
    Code.UPSTREAM_CROSSED_ANSWER: _BAD_GATEWAY,
    Code.STREAM_BROKEN: _BAD_GATEWAY,
    Code.STREAM_ORIGIN_UNKNOWN: _UNAVAILABLE,
    Code.STREAM_SOFTWARE_GONE: _UNAVAILABLE,
    Code.QUARANTINED: Traits(http.HTTPStatus.UNPROCESSABLE_ENTITY),
    Code.CRASHED_UPSTREAMS: _BAD_GATEWAY,
    Code.STOPPING: _UNAVAILABLE,
    Code.NOT_CONFIGURED: _UNAVAILABLE,
    Code.CONFIG_INVALID: Traits(http.HTTPStatus.UNPROCESSABLE_ENTITY),
    Code.CONFIG_CONFLICT: _CONFLICT,
    Code.SETTINGS_INVALID: Traits(
        http.HTTPStatus.INTERNAL_SERVER_ERROR, "server_error"
    ),
    Code.LEASE_LOST: _CONFLICT,
    Code.ORDER_FENCED: _CONFLICT,
    Code.PEER_REFUSED: Traits(http.HTTPStatus.FORBIDDEN),
    Code.NOT_FOUND: _NOT_FOUND,
    Code.INTERNAL: Traits(
        http.HTTPStatus.INTERNAL_SERVER_ERROR, "server_error"
    ),
}

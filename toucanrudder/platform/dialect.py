"""HTTP headers of this platform, for requests and upstreams' answers."""

import re

import orjson

from toucanrudder import errors
from toucanrudder.forwarding import dialect
from toucanrudder.forwarding import model
from toucanrudder.forwarding import routing
from toucanrudder.forwarding.statements import stated_loads
from toucanrudder.http1 import message

STEP = "read"

#: Headers that only the router may set; those of callers are dropped.
_ROUTER_HEADERS = frozenset(
    b"authorization tenant deadline-ms expect-instance expect-version"
    b" request-priority cache-salt kv-fetch-from kv-save-to kv-from kv-hold"
    b" kv-backup pin-ms last-event-id content-length instance-id"
    b" not-executed server-seal server-load server-limit"
    b" server-leaving".split()
)

#: Least urgent priority that upstreams accept; 0 is the most urgent.
_LOWEST_PRIORITY = 9

#: Statuses with which Not-Executed is believed; others contradict it.
_NOT_RUN_STATUSES = frozenset({400, 421, 429, 503})

_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
_EVENT_WEIGHTS = re.compile(rb"weight-versions:[ ]?(\d{1,18})[ ]*[\r\n]")


def _bad_header(name: str) -> errors.RudderError:
    return errors.RudderError(
        errors.Code.BAD_HEADER, f"{name} cannot be read", step=STEP
    )


def _text(head, name: bytes) -> str | None:
    value = head.get(name)
    return None if value is None else value.decode("latin-1").strip()


def _integer(head, name: bytes) -> int | None:
    text = _text(head, name)
    if text is None:
        return None
    try:
        return int(float(text))
    except (ValueError, OverflowError):
        raise _bad_header(name.decode()) from None


def _parse_prompt(head: message.RequestHead) -> model.Prompt | None:
    name = _text(head, b"model")
    if name is None:
        return None
    try:
        text = _text(head, b"token-counts")
        counts = [int(count) for count in (text or "0,0").split(",")]
        parts = tuple(
            model.Part(identity.strip(), int(tokens))
            for identity, _, tokens in (
                part.partition(":")
                for part in (_text(head, b"prompt-prefix") or "").split(",")
                if part.strip()
            )
        )
        output_tokens = sum(counts[1:2])
        return model.Prompt(name, parts, counts[0], output_tokens, bool(text))
    except ValueError:
        raise _bad_header("the prompt's description") from None


class PlatformDialect(dialect.Dialect):
    """Translation of this platform's HTTP headers to and from the model."""

    def read_call(self, head: message.RequestHead) -> model.Call:
        """Parse the head of a caller's request."""
        path = head.target.partition(b"?")[0].decode("latin-1")
        host = (_text(head, b"host") or "").lower().partition(":")[0]
        scheme, _, key = (_text(head, b"authorization") or "").partition(" ")
        wait_ms = _integer(head, b"deadline-ms")
        return model.Call(
            request_id=_text(head, b"request-id") or "",
            host=host,
            path=path,
            api_key=key.strip() if scheme.lower() == "bearer" else None,
            wait_s=None if wait_ms is None else wait_ms / 1000,
            prompt=_parse_prompt(head),
            resume_after=_text(head, b"last-event-id"),
            resumes=_text(head, b"resumes"),
        )

    def upstream_request(
        self,
        head: message.RequestHead,
        body: bytes,
        matched: routing.RouteMatch,
        instructions: dialect.Instructions,
    ) -> message.RequestHead:
        """Return the head of the request for an upstream."""
        organisation = matched.organisation
        is_prompt = matched.call.prompt is not None
        lengths = (b"content-length", b"transfer-encoding")
        has_body = body or any(head.get(name) is not None for name in lengths)
        copy_source = f"{instructions.continue_at}/{matched.call.request_id}"
        router_headers = {
            "Deadline-Ms": max(1, int(instructions.remaining_s * 1000)),
            "Expect-Instance": instructions.upstream.name,
            "Request-Priority": min(matched.rank, _LOWEST_PRIORITY),
            "Content-Length": len(body) if has_body else None,
            "Tenant": organisation.name if organisation else None,
            "Last-Event-Id": instructions.resume_after,
            # Callers cannot set this header, so its value need not be secret.
            "Cache-Salt": instructions.salt if is_prompt else None,
            "Expect-Version": instructions.weights_version,
            "Kv-Fetch-From": instructions.fetch_from or None,
            "Kv-Backup": instructions.copy_to or None,
            "Kv-From": copy_source if instructions.continue_at else None,
            "Kv-Save-To": instructions.save_to or None,
        }
        return message.RequestHead(
            head.method,
            head.target,
            message.end_to_end(head.headers, _ROUTER_HEADERS)
            + tuple(
                (name.encode(), str(value).encode("latin-1"))
                for name, value in router_headers.items()
                if value is not None
            ),
        )

    def answer_facts(
        self,
        call: model.Call,
        upstream: model.Upstream,
        answer: message.AnswerHead,
    ) -> dialect.AnswerFacts:
        """Parse the head of an upstream's answer."""
        answered_id = _text(answer, b"request-id") or None
        version = _text(answer, b"weight-versions")
        has_not_run = answer.status in _NOT_RUN_STATUSES and (
            answer.get(b"not-executed") is not None
        )
        instance = _text(answer, b"instance-id")
        is_expected = instance == upstream.name
        return dialect.AnswerFacts(
            is_for_request=answered_id == call.request_id,
            names_no_request=answered_id is None,
            has_not_run=has_not_run,
            # Both have status 421; Instance-Id tells them apart.
            is_other_process=answer.status == 421 and not is_expected,
            has_other_weights=answer.status == 421 and is_expected,
            names_other_process=instance not in (None, upstream.name),
            is_sealed=answer.get(b"server-seal") is not None,
            load=stated_loads.read(_text(answer, b"server-load")),
            refusals_per_s=message.number(answer, b"server-brittle"),
            rate_limit_per_s=message.stated_number(answer, b"server-limit"),
            is_leaving=_text(answer, b"server-leaving") == "1",
            retry_after_s=message.number(answer, b"retry-after"),
            weights_version=int(version)
            if version and version.isascii() and version.isdecimal()
            else None,
        )

    def error_answer(
        self, error: errors.RudderError, request_id: str
    ) -> tuple[message.Headers, bytes]:
        """Return headers and body of an error answer."""
        headers = [(b"Content-Type", b"application/json")]
        if request_id:
            headers.append((b"Request-Id", request_id.encode("latin-1")))
        if error.retry_after_s is not None:
            text = f"{error.retry_after_s:.3f}"
            headers.append((b"Retry-After", text.encode()))
        return tuple(headers), orjson.dumps(error.as_body(request_id))

    def event_id(self, event: bytes) -> str | None:
        """Return the ID of one complete event of a stream, if it has one."""
        match = _EVENT_ID.search(event)
        return match[1].decode("latin-1").strip() if match else None

    def event_weights(self, event: bytes) -> int | None:
        """Return the weights version in the first line of an event."""
        match = _EVENT_WEIGHTS.match(event)
        return int(match[1]) if match else None

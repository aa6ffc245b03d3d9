"""What callers and upstreams say on this platform, in heads of HTTP."""

import re

import orjson

from toucanrudder import errors
from toucanrudder.forwarding import dialect
from toucanrudder.forwarding import model
from toucanrudder.forwarding import routing
from toucanrudder.http1 import message

STEP = "read"

#: Fields that only the router may set; a caller's are dropped.
_OURS = frozenset(
    b"authorization tenant deadline-ms expect-instance expect-version"
    b" request-priority cache-salt kv-fetch-from kv-save-to kv-from kv-hold"
    b" kv-backup pin-ms last-event-id content-length instance-id"
    b" not-executed server-seal server-load".split()
)

#: Lowest rank that upstreams know; 0 is the first.
_LAST_PRIORITY = 9

#: Any other status contradicts an upstream's statement of not having run.
_NOT_RUN_STATUSES = frozenset({400, 421, 429, 503})

_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


def _bad(name: str) -> errors.RudderError:
    return errors.RudderError(
        errors.Code.BAD_HEADER, f"{name} cannot be read", step=STEP
    )


def _text(head, name: bytes) -> str | None:
    value = head.get(name)
    return None if value is None else value.decode("latin-1").strip()


def _number(head, name: bytes) -> int | None:
    text = _text(head, name)
    if text is None:
        return None
    try:
        return int(float(text))
    except (ValueError, OverflowError):
        raise _bad(name.decode()) from None


def _prompt(head: message.RequestHead) -> model.Prompt | None:
    name = _text(head, b"model")
    if name is None:
        return None
    try:
        told = _text(head, b"token-counts")
        counts = [int(each) for each in (told or "0,0").split(",")]
        parts = tuple(
            model.Part(identity.strip(), int(tokens))
            for identity, _, tokens in (
                each.partition(":")
                for each in (_text(head, b"prompt-prefix") or "").split(",")
                if each.strip()
            )
        )
        tokens_out = sum(counts[1:2])
        return model.Prompt(name, parts, counts[0], tokens_out, bool(told))
    except ValueError:
        raise _bad("the prompt's description") from None


class PlatformDialect(dialect.Dialect):
    """Heads as this platform's callers and upstreams write them."""

    def read_call(self, head: message.RequestHead) -> model.Call:
        """Read a caller's request."""
        path = head.target.partition(b"?")[0].decode("latin-1")
        host = (_text(head, b"host") or "").lower().partition(":")[0]
        scheme, _, key = (_text(head, b"authorization") or "").partition(" ")
        wait_ms = _number(head, b"deadline-ms")
        return model.Call(
            request_id=_text(head, b"request-id") or "",
            host=host,
            path=path,
            api_key=key.strip() if scheme.lower() == "bearer" else None,
            wait_s=None if wait_ms is None else wait_ms / 1000,
            prompt=_prompt(head),
            resume_after=_text(head, b"last-event-id"),
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
        has_body = body or head.get(b"content-length") or _is_chunked(head)
        copy = f"{instructions.continue_at}/{matched.call.request_id}"
        set_here = {
            "Deadline-Ms": max(1, int(instructions.remaining_s * 1000)),
            "Expect-Instance": instructions.upstream.name,
            "Request-Priority": min(matched.rank, _LAST_PRIORITY),
            "Content-Length": len(body) if has_body else None,
            "Tenant": organisation.name if organisation else None,
            "Last-Event-Id": instructions.resume_after,
            # Callers cannot set it, so it need not be a secret.
            "Cache-Salt": instructions.salt if is_prompt else None,
            "Expect-Version": instructions.weights_version,
            "Kv-Fetch-From": instructions.fetch_from or None,
            "Kv-Backup": instructions.copy_to or None,
            "Kv-From": copy if instructions.continue_at else None,
            "Kv-Save-To": instructions.save_to or None,
        }
        return message.RequestHead(
            head.method,
            head.target,
            message.end_to_end(head.headers, _OURS)
            + tuple(
                (name.encode(), str(value).encode("latin-1"))
                for name, value in set_here.items()
                if value is not None
            ),
        )

    def answer_facts(
        self,
        call: model.Call,
        upstream: model.Upstream,
        answer: message.AnswerHead,
    ) -> dialect.AnswerFacts:
        """Read the head of an upstream's answer."""
        answers = _text(answer, b"request-id") or None
        version = _text(answer, b"weight-versions")
        not_run = answer.status in _NOT_RUN_STATUSES and (
            answer.get(b"not-executed") is not None
        )
        is_same = _text(answer, b"instance-id") == upstream.name
        return dialect.AnswerFacts(
            is_for_request=answers == call.request_id,
            names_no_request=answers is None,
            has_not_run=not_run,
            # One status says both; the identity tells them apart.
            is_other_process=answer.status == 421 and not is_same,
            has_other_weights=answer.status == 421 and is_same,
            is_sealed=answer.get(b"server-seal") is not None,
            load=_load(_text(answer, b"server-load")),
            weights_version=int(version)
            if version and version.isascii() and version.isdecimal()
            else None,
        )

    def error_answer(
        self, error: errors.RudderError, request_id: str
    ) -> tuple[message.Headers, bytes]:
        """Return fields and body of a refusal."""
        headers = [(b"Content-Type", b"application/json")]
        if request_id:
            headers.append((b"Request-Id", request_id.encode("latin-1")))
        if error.retry_after_s is not None:
            text = f"{error.retry_after_s:.3f}"
            headers.append((b"Retry-After", text.encode()))
        return tuple(headers), orjson.dumps(error.as_body(request_id))

    def event_id(self, event: bytes) -> str | None:
        """Return the identity of one whole event of a stream."""
        found = _EVENT_ID.search(event)
        return found[1].decode("latin-1").strip() if found else None


def _is_chunked(head: message.RequestHead) -> bool:
    return head.get(b"transfer-encoding") is not None


def _load(text: str | None) -> model.Load | None:
    if text is None:
        return None
    try:
        running, waiting, slots = (int(each) for each in text.split(","))
    except ValueError:
        return None
    return model.Load(running, waiting, slots)

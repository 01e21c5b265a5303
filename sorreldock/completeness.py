"""The definition of a complete answer in each protocol, without I/O.

The end of an answer's framing (the last chunk, the stated length, END_STREAM) shows only that its sender
stopped: a proxy or a library ends it for a server that has died. An answer is complete if the protocol's own
end arrived too: `data: [DONE]` in an event stream, `grpc-status: 0` in the trailers of a gRPC call.
"""

from __future__ import annotations

END_EVENT_VALUE = b"[DONE]"
DATA_FIELD = b"data:"


class IncompleteAnswer(Exception):
    """Raised for an answer whose framing has ended before the protocol's own end."""


def is_end_event(line: bytes) -> bool:
    """Return whether a line of an event stream is the field of its last event (WHATWG, 9.2.6)."""
    return line.startswith(DATA_FIELD) and line[len(DATA_FIELD) :].strip() == END_EVENT_VALUE


def contains_end_event(events: bytes) -> bool:
    """Return whether whole events of an event stream contain its last event."""
    return END_EVENT_VALUE in events and any(is_end_event(line) for line in events.split(b"\n"))


def has_data(events: bytes) -> bool:
    """Return whether a block of an event stream is an event: one without data is only a comment (WHATWG)."""
    return events.startswith(DATA_FIELD) or b"\n" + DATA_FIELD in events


def check_event_stream(has_end_event: bool, remainder: bytes) -> None:
    """Raise IncompleteAnswer unless an event stream is complete whose framing has ended.

    `remainder` is what followed the last blank line; the last event may lack its own.
    """
    if not has_end_event:
        raise IncompleteAnswer("the answer ended before its last event")
    if remainder.strip() and not contains_end_event(remainder):
        raise IncompleteAnswer("the answer ended within an event")


def check_grpc_answer(
    http_status: str, has_trailers: bool, has_partial_message: bool, messages: int, is_unary: bool
) -> None:
    """Raise IncompleteAnswer unless a gRPC answer with status OK is complete whose stream has ended.

    `has_trailers` is also true of a response that consists of trailers only.
    """
    if http_status != "200":
        raise IncompleteAnswer(f"the answer has the HTTP status {http_status or 'missing'}")
    if not has_trailers:
        raise IncompleteAnswer("the answer ended without trailers")
    if has_partial_message:
        raise IncompleteAnswer("the answer ended within a message")
    if is_unary and messages != 1:
        raise IncompleteAnswer(f"the answer of a unary call has {messages} messages")

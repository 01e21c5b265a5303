"""The `sorreldock ask` command, which sends one request with the client library."""

from __future__ import annotations

import contextlib
import json
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import anyio
from rich.console import Console

from ..kserve import kserve_pb2 as pb
from .client import Answer, Client
from .types import Broken, ClientError, ClientSettings, DeadlineExceeded, Refused, Request, text_of

# By outcome; 2 is left for an invalid command line.
EXIT_STATUSES = {"answered": 0, "refused": 3, "failed": 4, "broken": 5, "deadline": 6}


@dataclass(frozen=True, slots=True)
class Ask:
    """The parsed command line of `ask`."""

    routers: list[str]
    request: Request
    settings: ClientSettings
    protocol: str = "http"
    timeout_s: float = 10.0
    as_json: bool = False


def chat_body(model: str, prompt: str, max_output_tokens: int) -> bytes:
    """Return the JSON body of a streamed chat request; `max_output_tokens` of 0 sets no limit."""
    chat: dict[str, Any] = {"model": model, "stream": True}
    if max_output_tokens:
        chat["max_tokens"] = max_output_tokens
    chat["messages"] = [{"role": "user", "content": prompt}]
    return json.dumps(chat).encode()


def event_text(event: bytes, protocol: str) -> str:
    """Return the text that an event adds to the answer."""
    if protocol == "http":
        return text_of(event)
    answer = pb.ModelStreamInferResponse.FromString(event).infer_response
    raw = answer.raw_output_contents[0] if answer.raw_output_contents else b""
    return raw[4:].decode(errors="replace")


def outcome_name(error: ClientError) -> str:
    """Return the name under which the command reports an error, a key of `EXIT_STATUSES`."""
    if isinstance(error, Refused):
        return "refused"
    if isinstance(error, DeadlineExceeded):
        return "deadline"
    return "broken" if isinstance(error, Broken) else "failed"


class Screen:
    """The command's output: the answer's text, or with `as_json` a JSON record for each event."""

    def __init__(self, ask: Ask) -> None:
        self.ask = ask
        self.since = time.monotonic()
        self.events = 0
        self.console = Console(stderr=True)

    def record(self, **fields: Any) -> None:
        """Print a JSON record with these fields and the seconds since the start."""
        at = round(time.monotonic() - self.since, 4)
        print(json.dumps({"at_s": at, **fields}), flush=True)

    @contextlib.contextmanager
    def waiting(self) -> Iterator[None]:
        """Show a spinner while the block runs, if standard error is a terminal."""
        if self.ask.as_json or not sys.stderr.isatty():
            yield
            return
        with self.console.status("waiting for the answer ..."):
            yield

    def event(self, event: bytes, answer: Answer) -> None:
        """Print an event of the answer."""
        self.events += 1
        text = event_text(event, self.ask.protocol)
        if self.ask.as_json:
            data = event.decode(errors="replace") if self.ask.protocol == "http" else event.hex()
            self.record(event=self.events, attempts=answer.attempts, text=text, data=data)
        elif text:
            sys.stdout.write(text)
            sys.stdout.flush()

    def end(self, outcome: str, attempts: int, retries: int, router: str, error: ClientError | None) -> None:
        """Print the outcome; `error` is None for a complete answer."""
        if self.ask.as_json:
            fields: dict[str, Any] = {"outcome": outcome, "events": self.events}
            if error is not None:
                fields |= {
                    "cause": error.cause,
                    "may_have_run": error.may_have_run,
                    "retry_after_s": error.retry_after_s,
                }
            self.record(**fields, attempts=attempts, retries=retries, router=router)
            return
        if self.events:
            print(flush=True)
        if error is not None:
            print(f"sorreldock: {outcome}: {error}", file=sys.stderr)


async def _ask(ask: Ask) -> int:
    screen = Screen(ask)
    try:
        async with (
            Client(ask.routers, ask.settings, ask.protocol) as client,
            contextlib.AsyncExitStack() as stack,
        ):
            with screen.waiting():
                answer = await stack.enter_async_context(client.stream(ask.request, ask.timeout_s))
            async for event in answer:
                screen.event(event, answer)
    except ClientError as error:
        outcome = outcome_name(error)
        screen.end(outcome, error.attempts, error.retries, error.router, error)
        return EXIT_STATUSES[outcome]
    screen.end("answered", answer.attempts, answer.retries, answer.router, None)
    return 0


def run(ask: Ask) -> int:
    """Run the command and return its exit status; raise ValueError for invalid arguments."""
    return anyio.run(_ask, ask, backend="trio")

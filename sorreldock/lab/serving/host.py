"""One engine's model at work in real time: the clock, and the answers that wait for its outputs."""

from __future__ import annotations

import hashlib
import json
import math
from collections import deque
from typing import Any

import trio

from ..engine import Engine, Job, Output, Verdict
from ..ledger import Ledger
from ..settings import EngineSettings

WORDS = """
archive beach boat bridge cane clouds coast crowd creek cyclone dam dusk ferry flood gulf harbour hills
island jetty lagoon mango market mill newsreel orchard parade pier queue rail reef river school shore square
storm street sugar surf tide town tram valley verandah wharf window
""".split()  # noqa: SIM905 - as a list it would be longer than all that uses it
TOKEN_CHARS = 4


def words(name: str, start: int, count: int) -> str:
    """Tokens of an answer: the same ones for the same request and place, whatever engine makes them."""
    seed = int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "big")
    return "".join(WORDS[(seed + 7 * i) % len(WORDS)] + " " for i in range(start, start + count))


def job_of(name: str, body: bytes, settings: EngineSettings) -> tuple[Job, str]:
    """What a body asks of the model, and the sender's key for the request (`metadata.lab_key`, else its
    name). Four characters are a token; the first message is the shared opening.
    """
    try:
        chat: Any = json.loads(body)
    except (ValueError, RecursionError):
        chat = None
    if not isinstance(chat, dict):
        return Job(name, max(len(body) // TOKEN_CHARS, 1), settings.output_tokens), name
    messages = chat.get("messages")
    opening = ""
    if isinstance(messages, list) and messages and isinstance(messages[0], dict):
        opening = str(messages[0].get("content", ""))
    most = chat.get("max_tokens")
    output = settings.output_tokens
    if isinstance(most, int) and not isinstance(most, bool) and most > 0:
        output = min(most, output)
    metadata = chat.get("metadata")
    key = str(metadata.get("lab_key", name)) if isinstance(metadata, dict) else name
    digest = hashlib.blake2b(opening.encode(), digest_size=8).hexdigest() if opening else ""
    tokens = max(len(body) // TOKEN_CHARS, 1)
    return Job(name, tokens, output, digest, min(len(opening) // TOKEN_CHARS, tokens)), key


class Pending:
    """The outputs of one request that its connection has not written yet. An engine does not wait for slow
    readers: what is made is held, bounded by the request's own length.
    """

    def __init__(self) -> None:
        self._outputs: deque[Output | None] = deque()
        self._ready = trio.Event()

    def put(self, output: Output | None) -> None:
        self._outputs.append(output)
        self._ready.set()

    async def get(self) -> Output | None:
        """The next output; None: the engine has fallen over."""
        while not self._outputs:
            self._ready = trio.Event()
            await self._ready.wait()
        return self._outputs.popleft()


class EngineHost:
    """Runs an engine's model in real time."""

    def __init__(self, settings: EngineSettings, ledger: Ledger, started_at: float = -math.inf) -> None:
        self.settings = settings
        self.model = Engine(settings, started_at)
        self.ledger = ledger
        self._pending: dict[str, Pending] = {}
        self._offered = trio.Event()

    async def run(self) -> None:
        """Drive the model; ends with its scope."""
        while True:
            at = self.model.next_at()
            if at is None:
                self._offered = trio.Event()
                await self._offered.wait()
                continue
            await trio.sleep_until(at)
            self._hand_out(self.model.advance(trio.current_time()))

    def _hand_out(self, outputs: list[Output]) -> None:
        for output in outputs:
            pending = self._pending.get(output.name)
            if pending is not None:
                pending.put(output)

    def start(self, job: Job, key: str) -> Verdict | Pending:
        """Begin a request; its outputs, or why it is not taken. `done` must follow what was taken."""
        now = trio.current_time()
        self._hand_out(self.model.advance(now))
        verdict = self.model.offer(now, job)
        if verdict is Verdict.FALLEN:
            for pending in self._pending.values():
                pending.put(None)
        if verdict is not Verdict.ACCEPTED:
            return verdict
        self.ledger.begin(key)
        self._offered.set()
        pending = self._pending[job.name] = Pending()
        return pending

    def done(self, job: Job, key: str, whole: bool) -> None:
        self._pending.pop(job.name, None)
        self.ledger.end(key)
        if not whole:
            self.model.cancel(trio.current_time(), job.name)

    def report(self) -> str:
        return self.model.report(trio.current_time()).text()

"""An engine's model run in real time, and the outputs that its connections wait for."""

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
""".split()  # noqa: SIM905 - a list would take one line per word
CHARS_PER_TOKEN = 4


def answer_text(name: str, start: int, count: int) -> str:
    """Return `count` tokens of an answer; all engines generate the same answer to a request of this name."""
    seed = int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "big")
    return "".join(WORDS[(seed + 7 * i) % len(WORDS)] + " " for i in range(start, start + count))


def parse_job(name: str, body: bytes, settings: EngineSettings) -> tuple[Job, str]:
    """Return the job that a body describes, and the sender's key for the request.

    The key is `metadata.lab_key`, or else the request's name. Four characters count as a token; the first
    message is the shared prefix.
    """
    try:
        chat: Any = json.loads(body)
    except (ValueError, RecursionError):
        chat = None
    if not isinstance(chat, dict):
        return Job(name, max(len(body) // CHARS_PER_TOKEN, 1), settings.output_tokens), name
    messages = chat.get("messages")
    shared_prefix = ""
    if isinstance(messages, list) and messages and isinstance(messages[0], dict):
        shared_prefix = str(messages[0].get("content", ""))
    max_tokens = chat.get("max_tokens")
    max_output_tokens = settings.output_tokens
    if isinstance(max_tokens, int) and not isinstance(max_tokens, bool) and max_tokens > 0:
        max_output_tokens = min(max_tokens, max_output_tokens)
    metadata = chat.get("metadata")
    key = str(metadata.get("lab_key", name)) if isinstance(metadata, dict) else name
    digest = hashlib.blake2b(shared_prefix.encode(), digest_size=8).hexdigest() if shared_prefix else ""
    tokens = max(len(body) // CHARS_PER_TOKEN, 1)
    return Job(
        name, tokens, max_output_tokens, digest, min(len(shared_prefix) // CHARS_PER_TOKEN, tokens)
    ), key


class PendingOutputs:
    """The outputs of one request that its connection hasn't written yet.

    An engine doesn't wait for slow readers: outputs are queued, bounded by the length of the answer.
    """

    def __init__(self) -> None:
        self._outputs: deque[Output | None] = deque()
        self._ready = trio.Event()

    def put(self, output: Output | None) -> None:
        self._outputs.append(output)
        self._ready.set()

    async def get(self) -> Output | None:
        """Wait for the next output; return None if the engine has fallen over."""
        while not self._outputs:
            self._ready = trio.Event()
            await self._ready.wait()
        return self._outputs.popleft()


class EngineHost:
    """The runner of an engine's model in real time."""

    def __init__(self, settings: EngineSettings, ledger: Ledger, started_at: float = -math.inf) -> None:
        self.settings = settings
        self.model = Engine(settings, started_at)
        self.ledger = ledger
        self._pending: dict[str, PendingOutputs] = {}
        self._accepted = trio.Event()

    async def run(self) -> None:
        """Advance the model as time passes, until cancelled."""
        while True:
            at = self.model.next_at()
            if at is None:
                self._accepted = trio.Event()
                await self._accepted.wait()
                continue
            await trio.sleep_until(at)
            self._deliver(self.model.advance(trio.current_time()))

    def _deliver(self, outputs: list[Output]) -> None:
        for output in outputs:
            pending = self._pending.get(output.name)
            if pending is not None:
                pending.put(output)

    def start(self, job: Job, key: str) -> Verdict | PendingOutputs:
        """Offer a request, and return its outputs or why it is rejected.

        `finish` must be called for each request that was accepted.
        """
        now = trio.current_time()
        self._deliver(self.model.advance(now))
        verdict = self.model.offer(now, job)
        if verdict is Verdict.FALLEN:
            for pending in self._pending.values():
                pending.put(None)
        if verdict is not Verdict.ACCEPTED:
            return verdict
        self.ledger.begin(key)
        self._accepted.set()
        pending = self._pending[job.name] = PendingOutputs()
        return pending

    def finish(self, job: Job, key: str, is_complete: bool) -> None:
        """End an accepted request; one whose answer is not complete is cancelled."""
        self._pending.pop(job.name, None)
        self.ledger.end(key)
        if not is_complete:
            self.model.cancel(trio.current_time(), job.name)

    def report(self) -> str:
        """Return the present load report in the platform's text format."""
        return self.model.report(trio.current_time()).text()

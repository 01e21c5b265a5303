"""The honest clients of a run, which send requests on a schedule and record how they end."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

import h2.events
import h2.exceptions
import trio

from . import grpc_clients, http_clients
from .plan import Picture, Plan, Protocol

ANSWER_SLACK_S = 0.5  # an answer this long after its time limit has no value, a later one counts as lost
DONE = b"data: [DONE]"
REFUSED_STREAM = 7  # RFC 9113, 7
LAST_CHUNK = b"0\r\n\r\n"


class Result(Enum):
    """How an honest request ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LATE = "late"  # answered after its time limit, within the slack
    LOST = "lost"  # no answer of any kind


@dataclass(slots=True)
class HonestRecords:
    """The ends of all honest requests."""

    results: dict[Result, int] = field(default_factory=lambda: dict.fromkeys(Result, 0))
    served_after_s: list[float] = field(default_factory=list)
    max_lag_s: float = 0.0  # of the timers of this process, which adds to all times

    def add(self, result: Result, took_s: float) -> None:
        """Record one end."""
        self.results[result] += 1
        if result in (Result.SERVED, Result.LATE):
            self.served_after_s.append(took_s)

    def served_percentile_s(self, share: float) -> float:
        """Return the time within which this share of the served requests was served; 0 without any."""
        times = sorted(self.served_after_s)
        return times[min(math.ceil(share * len(times)), len(times)) - 1] if times else 0.0


async def _ask_http(address: str, name: str, timeout_s: float) -> Result:
    data = http_clients.request(name, b"{}", timeout_s, fields=b"Connection: close\r\n", session=name)
    async with await http_clients.connect(address, Picture.CALM) as stream:
        await stream.send_all(data)
        answer = bytearray()
        while more := await stream.receive_some(65536):
            answer += more
    if answer.startswith((b"HTTP/1.1 503", b"HTTP/1.1 429")):
        return Result.REFUSED
    if answer.startswith(b"HTTP/1.1 200"):
        return Result.SERVED if DONE in answer and answer.endswith(LAST_CHUNK) else Result.FAILED
    return Result.FAILED if answer else Result.LOST


async def _ask_grpc(address: str, name: str, timeout_s: float) -> Result:
    async with await http_clients.connect(address, Picture.CALM) as stream:
        connection = grpc_clients.Connection(stream)
        number = connection.open(grpc_clients.head("ModelStreamInfer", name, timeout_s))
        connection.h2.send_data(number, grpc_clients.infer_message(b"honest"), end_stream=True)
        await connection.flush()
        fields: dict[str, str] = {}
        while data := bytes(await stream.receive_some(65536)):
            for event in connection.h2.receive_data(data):
                if isinstance(event, h2.events.ResponseReceived | h2.events.TrailersReceived):
                    fields |= {str(k): str(v) for k, v in event.headers or []}
                elif isinstance(event, h2.events.ConnectionTerminated) and event.last_stream_id == 0:
                    return Result.REFUSED  # proven unprocessed (RFC 9113, 6.8)
                elif isinstance(event, h2.events.StreamReset) and event.error_code == REFUSED_STREAM:
                    return Result.REFUSED
                elif isinstance(event, h2.events.StreamEnded):
                    return _result_of_status(fields.get("grpc-status", ""))
            await connection.flush()
    return Result.LOST


def _result_of_status(status: str) -> Result:
    return {"0": Result.SERVED, "14": Result.REFUSED, "8": Result.REFUSED}.get(status, Result.FAILED)


async def _ask(plan: Plan, address: str, number: int, records: HonestRecords) -> None:
    ask = _ask_http if plan.protocol is Protocol.HTTP else _ask_grpc
    began_at = trio.current_time()
    result = Result.LOST
    with trio.move_on_after(plan.honest_timeout_s + ANSWER_SLACK_S):
        try:
            result = await ask(address, f"honest-{plan.seed}-{number}", plan.honest_timeout_s)
        except* (OSError, trio.BrokenResourceError, h2.exceptions.ProtocolError):
            pass
    took_s = trio.current_time() - began_at
    if result in (Result.SERVED, Result.FAILED) and took_s > plan.honest_timeout_s:
        result = Result.LATE
    records.add(result, took_s)


async def run_honest(plan: Plan, address: str, records: HonestRecords) -> None:
    """Send honest requests for the time of the plan, and wait for their ends."""
    began_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(round(plan.total_s * plan.honest_per_s)):
            due = began_at + number / plan.honest_per_s
            await trio.sleep_until(due)
            records.max_lag_s = max(records.max_lag_s, trio.current_time() - due)
            nursery.start_soon(_ask, plan, address, number, records)

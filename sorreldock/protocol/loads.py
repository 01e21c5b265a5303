"""Load reports: `TEXT eps=0.5, queue=3`, or the same as JSON, with the platform's names of the values."""

from __future__ import annotations

import json

from ..interface import Metric

LOAD_REPORT_HEADER = "Endpoint-Load-Metrics"
LARGEST = 1e6  # no count, share or time of an engine is larger, in the units of the settings
NAMES = {
    "inflight": Metric.IN_FLIGHT,
    "outstanding": Metric.IN_FLIGHT,
    "queue": Metric.QUEUE_LENGTH,
    "backlog": Metric.QUEUE_LENGTH,
    "util": Metric.UTILIZATION,
    "utilization": Metric.UTILIZATION,
    "latency_ms": Metric.LATENCY_MS,
    "recent_ms": Metric.LATENCY_MS,
    "qps": Metric.REQUEST_RATE,
    "throughput": Metric.REQUEST_RATE,
    "eps": Metric.ERROR_RATE,
    "errors_per_s": Metric.ERROR_RATE,
    "x0": Metric.MEMORY_SHARE,
    "x1": Metric.UNREAD_KTOKENS,
}


def parse_load(text: str) -> dict[Metric, float]:
    """The values of a report; what can't be read is left out, since a peer may write anything."""
    form, _, rest = text.strip().partition(" ")
    pairs: list[tuple[str, object]] = []
    if form == "JSON":
        try:
            whole = json.loads(rest)
        except (ValueError, RecursionError):
            return {}
        if isinstance(whole, dict):
            pairs = list(whole.items())
    else:
        body = rest if form == "TEXT" else text
        pairs = [(name, value) for name, _, value in (part.partition("=") for part in body.split(","))]
    load: dict[Metric, float] = {}
    for name, value in pairs:
        metric = NAMES.get(name.strip().removeprefix("named_metrics."))
        if metric is None or not isinstance(value, str | int | float):
            continue
        try:
            number = float(value)
        except (ValueError, OverflowError):
            continue
        if 0 <= number <= LARGEST:  # neither nan nor what would drown all that was learnt from other reports
            load[metric] = number
    return load

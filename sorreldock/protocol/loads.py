"""Load reports of servers: `TEXT eps=0.5, queue=3` or the same as JSON, with the platform's metric names."""

from __future__ import annotations

import json

from ..interface import Metric

LOAD_REPORT_HEADER = "Endpoint-Load-Metrics"
MAX_VALUE = 1e6  # no metric of a server is larger, in the units of the settings
METRICS_BY_NAME = {
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
    """Return the metrics of a report, without entries that are unknown or invalid."""
    format_name, _, rest = text.strip().partition(" ")
    pairs: list[tuple[str, object]] = []
    if format_name == "JSON":
        try:
            decoded = json.loads(rest)
        except (ValueError, RecursionError):
            return {}
        if isinstance(decoded, dict):
            pairs = list(decoded.items())
    else:
        body = rest if format_name == "TEXT" else text
        pairs = [(name, value) for name, _, value in (part.partition("=") for part in body.split(","))]
    load: dict[Metric, float] = {}
    for name, value in pairs:
        metric = METRICS_BY_NAME.get(name.strip().removeprefix("named_metrics."))
        if metric is None or not isinstance(value, str | int | float):
            continue
        try:
            number = float(value)
        except (ValueError, OverflowError):
            continue
        # Neither NaN nor a value so large that it would outweigh all earlier reports in the averages.
        if 0 <= number <= MAX_VALUE:
            load[metric] = number
    return load

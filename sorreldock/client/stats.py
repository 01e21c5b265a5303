"""Counters and HDR histograms of one client."""

from __future__ import annotations

from dataclasses import dataclass, field, fields

from hdrh.histogram import HdrHistogram

MAX_RECORDED_US = 3_600_000_000
DIGITS = 3


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RECORDED_US, DIGITS)


@dataclass
class Stats:
    """What a client has done since it was made. Histograms hold microseconds, with three significant
    digits.
    """

    requests: int = 0
    first_sends: int = 0
    retries: int = 0
    resends: int = 0  # of requests that no router had read, on another connection
    resumes: int = 0
    retry_limit: int = 0  # the most retries that the budget could have allowed
    refusals_honoured: int = 0  # waited for and tried again
    refusals_surfaced: int = 0  # told to the caller
    pauses_kept: int = 0  # calls held back because a router had asked for a pause
    connections_opened: int = 0
    connections_lost: int = 0  # ended by a router between answers
    dials_failed: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    broken: int = 0
    expired: int = 0
    cancelled: int = 0
    open_calls: int = 0
    open_connections: int = 0
    first_event_us: HdrHistogram = field(default_factory=_histogram)
    answer_us: HdrHistogram = field(default_factory=_histogram)
    reconnect_delay_us: HdrHistogram = field(default_factory=_histogram)

    @staticmethod
    def record(histogram: HdrHistogram, seconds: float) -> None:
        histogram.record_value(min(max(int(seconds * 1e6), 1), MAX_RECORDED_US))

    def counters(self) -> dict[str, int]:
        return {f.name: v for f in fields(self) if isinstance(v := getattr(self, f.name), int)}

    def as_dict(self) -> dict[str, object]:
        """For JSON: the counters, and of each histogram count, p50, p95, p99 and max in seconds."""
        out: dict[str, object] = dict(self.counters())
        for f in fields(self):
            value = getattr(self, f.name)
            if isinstance(value, HdrHistogram):
                out[f.name.removesuffix("_us") + "_s"] = summary(value)
        return out


def summary(histogram: HdrHistogram) -> dict[str, float]:
    if not histogram.total_count:
        return {"count": 0}
    at = histogram.get_value_at_percentile
    return {
        "count": histogram.total_count,
        **{f"p{p}": at(p) / 1e6 for p in (50, 95, 99)},
        "max": histogram.get_max_value() / 1e6,
    }

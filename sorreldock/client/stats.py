"""The counters and HDR histograms of one client."""

from __future__ import annotations

from dataclasses import dataclass, field, fields

from hdrh.histogram import HdrHistogram

MAX_RECORDED_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)


@dataclass
class Stats:
    """The counters and histograms of a client since its creation.

    Histograms (`*_us`) hold microseconds with three significant digits.
    """

    requests: int = 0
    first_sends: int = 0
    retries: int = 0
    resends: int = 0  # of requests that no router had read, on another connection
    resumes: int = 0  # requests for the rest of a broken answer
    retry_limit: int = 0  # the maximum number of retries that the budget could have allowed
    refusals_honoured: int = 0  # refusals after which the client waited and retried
    refusals_surfaced: int = 0  # refusals raised to the caller
    pauses_kept: int = 0  # calls delayed because the routers had asked for a pause
    connections_opened: int = 0
    connections_lost: int = 0  # ended by a router, or announced to end
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
        """Record a duration in a histogram of microseconds, within its range."""
        histogram.record_value(min(max(int(seconds * 1e6), 1), MAX_RECORDED_US))

    def counters(self) -> dict[str, int]:
        """Return the counters by name, without the histograms."""
        return {f.name: v for f in fields(self) if isinstance(v := getattr(self, f.name), int)}

    def as_dict(self) -> dict[str, object]:
        """Return a dict for JSON: the counters, and a `summary` of each histogram.

        A histogram's key ends in `_s` in place of `_us`.
        """
        result: dict[str, object] = dict(self.counters())
        for f in fields(self):
            value = getattr(self, f.name)
            if isinstance(value, HdrHistogram):
                result[f.name.removesuffix("_us") + "_s"] = summary(value)
        return result


def summary(histogram: HdrHistogram) -> dict[str, float]:
    """Return the count, and p50, p95, p99 and max in seconds, of a histogram; the count alone if it is 0."""
    if not histogram.total_count:
        return {"count": 0}
    value_at = histogram.get_value_at_percentile
    return {
        "count": histogram.total_count,
        **{f"p{p}": value_at(p) / 1e6 for p in (50, 95, 99)},
        "max": histogram.get_max_value() / 1e6,
    }

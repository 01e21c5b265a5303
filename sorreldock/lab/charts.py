"""Charts of the lab's experiments, as SVG and PNG (matplotlib)."""

from __future__ import annotations

from pathlib import Path
from typing import Any


def draw_reconnects(figures: dict[str, dict[str, Any]], directory: Path) -> list[Path]:
    """Draw the connections opened in each 100 ms after SIGTERM to all routers, and return the files.

    Both kinds of clients are drawn on the same scale.
    """
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "sorreldock"
    from matplotlib import pyplot

    client_kinds = [
        ("naive", "reconnect and retry at once", "#b3452c"),
        ("library", "sorreldock.client", "#2c6db3"),
    ]
    figure, axes = pyplot.subplots(2, 1, sharex=True, sharey=True, figsize=(8, 5), layout="constrained")
    for axis, (name, label, colour) in zip(axes, client_kinds, strict=True):
        row = figures[name]
        bins = row["reconnects_per_100ms"]
        axis.bar([n / 10 for n in range(len(bins))], bins, width=0.09, align="edge", color=colour)
        axis.set_title(
            f"{label}: peak {row['peak_per_100ms']} in 100 ms, p5 to p95 {row['span_p5_p95_s']:.1f} s, "
            f"in time {row['in_time_share']:.1%}",
            fontsize=10,
        )
        axis.set_ylabel("connections")
    axes[-1].set_xlabel("seconds since the first SIGTERM")
    figure.suptitle(f"{figures['library']['clients']} clients, all routers restarted")
    directory.mkdir(parents=True, exist_ok=True)
    paths = [directory / f"reconnect.{kind}" for kind in ("svg", "png")]
    figure.savefig(paths[0], metadata={"Date": None})
    figure.savefig(paths[1], dpi=110)
    pyplot.close(figure)
    return paths

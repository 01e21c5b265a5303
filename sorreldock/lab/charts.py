"""Charts of the lab's experiments, as SVG and PNG (matplotlib)."""

from __future__ import annotations

from pathlib import Path
from typing import Any


def draw_reconnects(figures: dict[str, dict[str, Any]], directory: Path) -> list[Path]:
    """Connections that came up in each 100 ms after all routers were told to stop, both sides on one
    scale.
    """
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "sorreldock"
    from matplotlib import pyplot

    sides = [("naive", "reconnect and retry at once", "#b3452c"), ("library", "sorreldock.client", "#2c6db3")]
    figure, axes = pyplot.subplots(2, 1, sharex=True, sharey=True, figsize=(8, 5), layout="constrained")
    for axis, (name, label, colour) in zip(axes, sides, strict=True):
        side = figures[name]
        bins = side["reconnects_per_100ms"]
        axis.bar([n / 10 for n in range(len(bins))], bins, width=0.09, align="edge", color=colour)
        axis.set_title(
            f"{label}: peak {side['peak_per_100ms']} in 100 ms, p5 to p95 {side['span_p5_p95_s']:.1f} s, "
            f"in time {side['in_time_share']:.1%}",
            fontsize=10,
        )
        axis.set_ylabel("connections")
    axes[-1].set_xlabel("seconds since all routers were told to stop")
    figure.suptitle(f"{figures['library']['clients']} clients, all routers restarted")
    directory.mkdir(parents=True, exist_ok=True)
    paths = [directory / f"reconnect.{kind}" for kind in ("svg", "png")]
    figure.savefig(paths[0], metadata={"Date": None})
    figure.savefig(paths[1], dpi=110)
    pyplot.close(figure)
    return paths

"""The table of the experiment and the chart of memory and latency against the number of clients."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

COLUMNS = (
    "picture",
    "protocol",
    "clients",
    "memory_mb",
    "anonymous_mb",
    "resident_mb",
    "cpu_share",
    "descriptors",
    "served",
    "refused",
    "failed",
    "late",
    "lost",
    "p50_ms",
    "p99_ms",
)


def format_table(rows: Iterable[dict[str, Any]]) -> str:
    """Format rows of figures as a table in Markdown."""
    lines = ["| " + " | ".join(COLUMNS) + " |", "|" + " --- |" * len(COLUMNS)]
    lines += ["| " + " | ".join(str(row[column]) for column in COLUMNS) + " |" for row in rows]
    return "\n".join(lines)


def draw_chart(rows: list[dict[str, Any]], folder: Path) -> list[Path]:
    """Draw peak memory and the honest requests' p99 against the number of clients; return the files."""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "sorreldock"
    from matplotlib import pyplot

    figure, (memory, latency) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 7), layout="constrained")
    pictures = sorted({row["picture"] for row in rows})
    for key in sorted({(row["picture"], row["protocol"], row["memory_mb"]) for row in rows}):
        style: dict[str, Any] = {
            "color": f"C{pictures.index(key[0])}",
            "linestyle": "--" if key[1] == "grpc" else "-",
            "marker": "o",
        }
        series = sorted(
            (row["clients"], row["resident_mb"], row["p99_ms"])
            for row in rows
            if (row["picture"], row["protocol"], row["memory_mb"]) == key
        )
        label = f"{key[0]}, {key[1]}, {key[2]} MB"
        clients = [point[0] for point in series]
        memory.plot(clients, [point[1] for point in series], label=label, **style)
        latency.plot(clients, [point[2] for point in series], label=label, **style)
    memory.set_ylabel("peak resident memory, MB")
    latency.set_ylabel("p99 of honest requests, ms")
    latency.set_xlabel("hostile clients")
    latency.set_xscale("log")
    memory.legend(fontsize=6, ncols=2)
    folder.mkdir(parents=True, exist_ok=True)
    paths = [folder / f"hostile.{kind}" for kind in ("svg", "png")]
    figure.savefig(paths[0], metadata={"Date": None})
    figure.savefig(paths[1], dpi=110)
    pyplot.close(figure)
    return paths

"""`sorreldock lab explore` and `lab mutants`: the router in worlds of virtual time."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Annotated, Any

import typer

from .optional_commands import AsJson, plainly

NAMED = """
Play seeded or written scenarios: the router's program on a virtual clock and an in-memory network, the rules
checked on the wires.

\b
Faults: slow, errors, full, hang, pause, spoil, refuse, deaf, crash, vanish, drain, readdress (of an
engine); deploy, slowdown, surge (of the fleet); list-late, list-stale, list-down, list-nonsense, list-silent,
list-moved (of discovery); stop, kill, sent-away, reload, clock (of a router); partition, one-way, loss,
resets, narrow (of the network).
Clients: usual, slow, leaving, trickling, bad, library.
Rules: final, in-time, overlap, resent, drain, cold, unchanged, at-once, whole, leak, rest, fault.

Exit status: 0 all rules held, 1 one broke or two runs parted, 2 a wrong command line or file.
"""


def span(text: str) -> range:
    """`A:B`, without B."""
    first, colon, last = text.partition(":")
    if not (colon and first.isdigit() and last.isdigit() and int(first) < int(last)):
        raise typer.BadParameter(f"{text!r} is not A:B with A below B")
    return range(int(first), int(last))


def fail(text: str) -> typer.Exit:
    print(f"sorreldock: {text}", file=sys.stderr)
    return typer.Exit(2)


def told(violation: dict[str, Any], last: bool = True) -> str:
    lines = [f"seed {violation['seed']}, {violation['at_s']:.6f} s: {violation['rule']}: {violation['text']}"]
    return "\n".join(lines + [f"    {line}" for line in violation["last"] if last])


def explore(
    seeds: Annotated[str, typer.Option(help="A:B, from A to before B.")] = "",
    seed: Annotated[int | None, typer.Option(min=0, help="One seed.")] = None,
    scenario: Annotated[Path | None, typer.Option(help="A scenario's TOML.")] = None,
    jobs: Annotated[int, typer.Option(min=1, max=64, help="Processes.")] = 1,
    trace: Annotated[
        bool, typer.Option("--trace", help="Print every step (of one seed or scenario).")
    ] = False,
    twice: Annotated[
        bool, typer.Option("--twice", help="Play each seed in two processes, and compare.")
    ] = False,
    mutant: Annotated[str, typer.Option(help="With this mutant (see `lab mutants`).")] = "",
    shrink: Annotated[Path | None, typer.Option(help="Write the smallest failing scenario here.")] = None,
    write: Annotated[
        Path | None, typer.Option(help="Write the seed's scenario here, and play nothing.")
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Its help is `NAMED`."""
    with plainly("lab"):
        from ..lab.simulation import explore as exploring
        from ..lab.simulation.mutants import MUTANTS, mutated
        from ..lab.simulation.replay import twice as play_twice
        from ..lab.simulation.scenario import draw, dump, load

        if (bool(seeds) + (seed is not None) + (scenario is not None)) != 1:
            raise fail("give one of --seeds, --seed and --scenario")
        if mutant and mutant not in MUTANTS:
            raise fail(f"no mistake is called {mutant}; `lab mutants --list` names them")
        chosen = span(seeds) if seeds else range(seed or 0, (seed or 0) + 1)
        if trace and (seeds or as_json):
            raise fail("--trace is for one seed or scenario, without --json")
        if twice and (scenario is not None or mutant):
            raise fail("--twice is for seeds")
        if (shrink or write) and seeds:
            raise fail("--shrink and --write are for one seed or scenario")
        one = load(scenario) if scenario is not None else draw(chosen[0])
        if write is not None:
            write.write_bytes(dump(one))
            return
        if twice:
            parted = [p for p in map(play_twice, chosen) if p is not None]
            for parting in parted:
                print(f"seed {parting.seed} parts at step {parting.step}:")
                print(f"    {parting.first}\n    {parting.second}")
            print(f"{len(chosen)} seeds played twice, {len(parted)} parted")
            raise typer.Exit(1 if parted else 0)
        if trace:
            from ..lab.simulation.runner import play

            with mutated(mutant):
                result = play(one, keep_trace=True)
            sys.stdout.write("".join(f"{line}\n" for line in result.trace))
            raise typer.Exit(1 if result.violations else 0)
        if seeds:
            report = _with_progress(chosen, jobs, mutant, not as_json and sys.stderr.isatty())
        else:
            report = exploring.Report()
            began = time.monotonic()
            with mutated(mutant):
                report.results[one.seed] = exploring.explore_here(one)
            report.wall_s = time.monotonic() - began
        figures = report.figures()
        if shrink is not None and figures["violations"]:
            _shrink(one, figures["violations"][0]["rule"], mutant, shrink)
    if as_json:
        print(json.dumps(figures))
    else:
        _print(figures)
    raise typer.Exit(1 if figures["violations"] else 0)


def _with_progress(seeds: range, jobs: int, mutant: str, shown: bool) -> Any:
    from ..lab.simulation.explore import explore as explore_seeds

    if not shown:
        return explore_seeds(seeds, jobs, mutant)
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True)) as progress:
        task, broken = progress.add_task("scenarios", total=len(seeds)), 0

        def ended(result: Any) -> None:
            nonlocal broken
            broken += bool(result.violations)
            progress.update(task, advance=1, description=f"scenarios, {broken} broke a rule")

        return explore_seeds(seeds, jobs, mutant, ended)


def _shrink(one: Any, rule: str, mutant: str, path: Path) -> None:
    from ..lab.simulation.mutants import mutated
    from ..lab.simulation.scenario import Scenario, dump
    from ..lab.simulation.shrink import shrink

    def note(smaller: Scenario, runs: int) -> None:
        sizes = (
            f"{len(smaller.faults)} faults, {len(smaller.requests)} requests, {len(smaller.engines)} engines"
        )
        print(f"{runs} runs: {smaller.routers} routers, {sizes}", file=sys.stderr)

    with mutated(mutant):
        made = shrink(one, rule, note)
    path.write_bytes(dump(made.scenario))
    print(f"{path}: the smallest found that breaks {rule!r}, after {made.runs} runs", file=sys.stderr)


def _print(figures: dict[str, Any]) -> None:
    for violation in figures["violations"][:20]:
        print(told(violation))
    broken = Counter(v["rule"] for v in figures["violations"])
    for key in ("scenarios", "rpcs", "attempts", "virtual_s", "wall_s", "digest"):
        print(f"{key:12}{figures[key]}")
    print(f"{'faults':12}{', '.join(f'{k} {n}' for k, n in figures['faults'].items()) or 'none'}")
    print(f"{'violations':12}{', '.join(f'{k} {n}' for k, n in sorted(broken.items())) or 'none'}")


def mutants(
    seeds: Annotated[str, typer.Option(help="A:B, the seeds to look in.")] = "0:500",
    jobs: Annotated[int, typer.Option(min=1, max=64, help="Processes.")] = 1,
    mutant: Annotated[list[str] | None, typer.Option(help="Only this one; may be given again.")] = None,
    listed: Annotated[bool, typer.Option("--list", help="Only name them.")] = False,
    as_json: AsJson = False,
) -> None:
    """Put known mistakes into the router, one after the other, and say after how many seeds each was found.

    Exit status: 0 all found, 1 one not, 2 a wrong command line.
    """
    with plainly("lab"):
        from ..lab.simulation.mutants import MUTANTS, find_all

        names = mutant or list(MUTANTS)
        for name in names:
            if name not in MUTANTS:
                raise fail(f"no mistake is called {name}; `lab mutants --list` names them")
        if listed:
            for name in names:
                print(f"{name:18}{MUTANTS[name].rule:11}{MUTANTS[name].text}")
            return
        found = find_all(names, span(seeds), jobs)
    rows = [
        {"mutant": f.mutant, "rule": MUTANTS[f.mutant].rule, "seeds": f.seeds, "seed": f.seed, "text": f.text}
        for f in found
    ]
    if as_json:
        print(json.dumps(rows))
    else:
        for row in rows:
            print(f"{row['mutant']:18}{row['rule']:11}{row['seeds'] or 'not found'!s:>10}  {row['text']}")
    raise typer.Exit(0 if all(row["seeds"] for row in rows) else 1)


def renamed() -> None:
    """Tell the new name of a command."""
    raise fail("`lab plants` is now called `lab mutants`")


def add_to(lab: typer.Typer) -> None:
    lab.command("explore", help=NAMED)(explore)
    lab.command("mutants")(mutants)
    lab.command(
        "plants", hidden=True, context_settings={"allow_extra_args": True, "ignore_unknown_options": True}
    )(renamed)

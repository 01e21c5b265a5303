"""`sorreldock lab explore` and `lab mutants`: simulations of the router in virtual time."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Annotated, Any

import typer

from .optional_commands import AsJson, report_errors

EXPLORE_HELP = """
Simulate scenarios from seeds or files: the router's program runs on a virtual clock and an in-memory network,
and the rules are checked on what it sends and receives.

\b
Faults: slow, errors, full, hang, pause, spoil, refuse, deaf, crash, vanish, drain, readdress (of a
server); deploy, slowdown, surge (of the fleet); list-late, list-stale, list-down, list-nonsense, list-silent,
list-moved (of discovery); stop, kill, sent-away, reload, clock (of a router); partition, one-way, loss,
resets, narrow (of the network).
Clients: usual, slow, leaving, trickling, bad, library.
Rules: final, in-time, overlap, resent, drain, cold, unchanged, at-once, whole, leak, rest, fault.

Exit status: 0 all rules held, 1 one was broken or two runs diverged, 2 invalid command line or file.
"""


def seed_range(text: str) -> range:
    """Parse `A:B`, a range without B."""
    start, colon, end = text.partition(":")
    if not (colon and start.isdigit() and end.isdigit() and int(start) < int(end)):
        raise typer.BadParameter(f"{text!r} is not A:B with A less than B")
    return range(int(start), int(end))


def usage_error(text: str) -> typer.Exit:
    print(f"sorreldock: {text}", file=sys.stderr)
    return typer.Exit(2)


def format_violation(violation: dict[str, Any], with_last_steps: bool = True) -> str:
    lines = [f"seed {violation['seed']}, {violation['at_s']:.6f} s: {violation['rule']}: {violation['text']}"]
    return "\n".join(lines + [f"    {line}" for line in violation["last"] if with_last_steps])


def explore(
    seeds: Annotated[str, typer.Option(help="Range of seeds A:B, without B.")] = "",
    seed: Annotated[int | None, typer.Option(min=0, help="One seed.")] = None,
    scenario: Annotated[Path | None, typer.Option(help="A scenario's TOML file.")] = None,
    jobs: Annotated[int, typer.Option(min=1, max=64, help="Number of processes.")] = 1,
    trace: Annotated[
        bool, typer.Option("--trace", help="Print every step (of one seed or scenario).")
    ] = False,
    twice: Annotated[
        bool, typer.Option("--twice", help="Simulate each seed in two processes, and compare.")
    ] = False,
    mutant: Annotated[str, typer.Option(help="Apply this mutant (see `lab mutants`).")] = "",
    shrink: Annotated[Path | None, typer.Option(help="Write the smallest failing scenario here.")] = None,
    write: Annotated[
        Path | None, typer.Option(help="Write the seed's scenario here, without simulating it.")
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Simulate scenarios; the help text of the command is `EXPLORE_HELP`."""
    with report_errors("lab"):
        from ..lab.simulation import explore as exploring
        from ..lab.simulation.mutants import MUTANTS, mutated
        from ..lab.simulation.replay import run_twice
        from ..lab.simulation.scenario import draw, dump, load

        if (bool(seeds) + (seed is not None) + (scenario is not None)) != 1:
            raise usage_error("give one of --seeds, --seed and --scenario")
        if mutant and mutant not in MUTANTS:
            raise usage_error(f"unknown mutant {mutant}; `lab mutants --list` names them")
        chosen = seed_range(seeds) if seeds else range(seed or 0, (seed or 0) + 1)
        if trace and (seeds or as_json):
            raise usage_error("--trace is for one seed or scenario, without --json")
        if twice and (scenario is not None or mutant):
            raise usage_error("--twice is for seeds")
        if (shrink or write) and seeds:
            raise usage_error("--shrink and --write are for one seed or scenario")
        scenario_to_play = load(scenario) if scenario is not None else draw(chosen[0])
        if write is not None:
            write.write_bytes(dump(scenario_to_play))
            return
        if twice:
            diverged = [pair for pair in map(run_twice, chosen) if pair is not None]
            for divergence in diverged:
                print(f"seed {divergence.seed} diverges at step {divergence.step}:")
                print(f"    {divergence.first}\n    {divergence.second}")
            print(f"{len(chosen)} seeds simulated twice, {len(diverged)} diverged")
            raise typer.Exit(1 if diverged else 0)
        if trace:
            from ..lab.simulation.runner import run_scenario

            with mutated(mutant):
                result = run_scenario(scenario_to_play, keep_trace=True)
            sys.stdout.write("".join(f"{line}\n" for line in result.trace))
            raise typer.Exit(1 if result.violations else 0)
        if seeds:
            report = _explore_with_progress(chosen, jobs, mutant, not as_json and sys.stderr.isatty())
        else:
            report = exploring.Report()
            started_at = time.monotonic()
            with mutated(mutant):
                report.results[scenario_to_play.seed] = exploring.explore_scenario(scenario_to_play)
            report.wall_s = time.monotonic() - started_at
        figures = report.figures()
        if shrink is not None and figures["violations"]:
            _shrink(scenario_to_play, figures["violations"][0]["rule"], mutant, shrink)
    if as_json:
        print(json.dumps(figures))
    else:
        _print_figures(figures)
    raise typer.Exit(1 if figures["violations"] else 0)


def _explore_with_progress(seeds: range, jobs: int, mutant: str, is_shown: bool) -> Any:
    from ..lab.simulation.explore import explore as explore_seeds

    if not is_shown:
        return explore_seeds(seeds, jobs, mutant)
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True)) as progress:
        task, failed = progress.add_task("scenarios", total=len(seeds)), 0

        def on_result(result: Any) -> None:
            nonlocal failed
            failed += bool(result.violations)
            progress.update(task, advance=1, description=f"scenarios, {failed} broke a rule")

        return explore_seeds(seeds, jobs, mutant, on_result)


def _shrink(scenario: Any, rule: str, mutant: str, path: Path) -> None:
    from ..lab.simulation.mutants import mutated
    from ..lab.simulation.scenario import Scenario, dump
    from ..lab.simulation.shrink import shrink

    def print_progress(smaller: Scenario, runs: int) -> None:
        sizes = (
            f"{len(smaller.faults)} faults, {len(smaller.requests)} requests, {len(smaller.engines)} servers"
        )
        print(f"{runs} runs: {smaller.routers} routers, {sizes}", file=sys.stderr)

    with mutated(mutant):
        result = shrink(scenario, rule, print_progress)
    path.write_bytes(dump(result.scenario))
    print(
        f"{path}: the smallest scenario found that breaks {rule!r}, after {result.runs} runs", file=sys.stderr
    )


def _print_figures(figures: dict[str, Any]) -> None:
    for violation in figures["violations"][:20]:
        print(format_violation(violation))
    counts = Counter(item["rule"] for item in figures["violations"])
    for key in ("scenarios", "rpcs", "attempts", "virtual_s", "wall_s", "digest"):
        print(f"{key:12}{figures[key]}")
    print(f"{'faults':12}{', '.join(f'{k} {n}' for k, n in figures['faults'].items()) or 'none'}")
    print(f"{'violations':12}{', '.join(f'{k} {n}' for k, n in sorted(counts.items())) or 'none'}")


def mutants(
    seeds: Annotated[str, typer.Option(help="Range of seeds A:B, without B.")] = "0:500",
    jobs: Annotated[int, typer.Option(min=1, max=64, help="Number of processes.")] = 1,
    mutant: Annotated[list[str] | None, typer.Option(help="Only this mutant; may be repeated.")] = None,
    listed: Annotated[bool, typer.Option("--list", help="Only list the mutants.")] = False,
    as_json: AsJson = False,
) -> None:
    """Apply known faults to the router, one at a time, and print after how many seeds each was found.

    Exit status: 0 all found, 1 one not found, 2 invalid command line.
    """
    with report_errors("lab"):
        from ..lab.simulation.mutant_search import find_all
        from ..lab.simulation.mutants import MUTANTS

        names = mutant or list(MUTANTS)
        for name in names:
            if name not in MUTANTS:
                raise usage_error(f"unknown mutant {name}; `lab mutants --list` names them")
        if listed:
            for name in names:
                print(f"{name:18}{MUTANTS[name].rule:11}{MUTANTS[name].text}")
            return
        found = find_all(names, seed_range(seeds), jobs)
    rows = [
        {
            "mutant": finding.mutant,
            "rule": MUTANTS[finding.mutant].rule,
            "seeds": finding.seeds,
            "seed": finding.seed,
            "text": finding.text,
        }
        for finding in found
    ]
    if as_json:
        print(json.dumps(rows))
    else:
        for row in rows:
            print(f"{row['mutant']:18}{row['rule']:11}{row['seeds'] or 'not found'!s:>10}  {row['text']}")
    raise typer.Exit(0 if all(row["seeds"] for row in rows) else 1)


def report_new_name() -> None:
    """Fail with an error that gives the new name of the command."""
    raise usage_error("`lab plants` has been renamed to `lab mutants`")


def add_to(lab: typer.Typer) -> None:
    lab.command("explore", help=EXPLORE_HELP)(explore)
    lab.command("mutants")(mutants)
    lab.command(
        "plants", hidden=True, context_settings={"allow_extra_args": True, "ignore_unknown_options": True}
    )(report_new_name)

"""From a scenario that breaks a rule to the smallest one found that still does."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from .runner import run_scenario
from .scenario import Scenario, WeatherPlan

MOST_RUNS = 400
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Shrunk:
    """The smallest scenario that still fails."""

    scenario: Scenario
    rule: str
    runs: int


def _without(items: list[T]) -> Iterator[list[T]]:
    """Lists that lack a part: halves first, then ever smaller parts, down to one (delta debugging)."""
    size = len(items) // 2 or 1
    while size:
        for start in range(0, len(items), size):
            yield items[:start] + items[start + size :]
        if size == 1:
            return
        size //= 2


def _smaller(scenario: Scenario) -> Iterator[Scenario]:
    def changed(**fields: Any) -> Scenario | None:
        try:
            raw = msgspec.structs.replace(scenario, **fields)
            return msgspec.convert(msgspec.to_builtins(raw), Scenario)  # checked as a file would be
        except (msgspec.ValidationError, ValueError):
            return None

    made: list[Scenario | None] = []
    made += [changed(faults=kept) for kept in _without(scenario.faults) if len(kept) < len(scenario.faults)]
    made += [
        changed(requests=kept) for kept in _without(scenario.requests) if len(kept) < len(scenario.requests)
    ]
    if scenario.weather != WeatherPlan():
        made.append(changed(weather=WeatherPlan()))
    if scenario.routers > 1:
        last = scenario.routers - 1
        moved = [msgspec.structs.replace(p, router=min(p.router, last - 1)) for p in scenario.requests]
        made.append(changed(routers=last, requests=moved))
    if len(scenario.engines) > 1:
        made += [
            changed(engines=scenario.engines[:half])
            for half in (len(scenario.engines) // 2, len(scenario.engines) - 1)
        ]
    for k, plan in enumerate(scenario.requests):
        plain = msgspec.structs.replace(plan, client="usual", body_bytes=0, prefix="")
        if plain != plan and len(scenario.requests) <= 6:
            made.append(changed(requests=[*scenario.requests[:k], plain, *scenario.requests[k + 1 :]]))
    for k, fault in enumerate(scenario.faults):
        if fault.for_s > 0.2 and len(scenario.faults) <= 4:
            shorter = msgspec.structs.replace(fault, for_s=round(fault.for_s / 2, 3))
            made.append(changed(faults=[*scenario.faults[:k], shorter, *scenario.faults[k + 1 :]]))
    yield from (m for m in made if m is not None and m.engines)


def breaks(scenario: Scenario, rule: str) -> bool:
    return any(v.rule == rule for v in run_scenario(scenario).violations)


def shrink(
    scenario: Scenario, rule: str, told: Callable[[Scenario, int], None] = lambda scenario, runs: None
) -> Shrunk:
    """Leave out what the violation of `rule` does not need. ValueError if nothing breaks it."""
    if not breaks(scenario, rule):
        raise ValueError(f"the scenario does not break {rule!r}")
    runs, found = 1, True
    while found and runs < MOST_RUNS:
        found = False
        for smaller in _smaller(scenario):
            runs += 1
            if breaks(smaller, rule):
                scenario, found = smaller, True
                told(scenario, runs)
                break
            if runs >= MOST_RUNS:
                break
    return Shrunk(scenario, rule, runs)

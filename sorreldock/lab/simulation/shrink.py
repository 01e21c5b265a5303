"""Reduction of a scenario that breaks a rule to a smaller one that still breaks it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from .runner import run_scenario
from .scenario import NetworkPlan, Scenario

MAX_RUNS = 400
Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class ShrinkResult:
    """The smallest scenario found that still breaks the rule."""

    scenario: Scenario
    rule: str
    runs: int


def _sublists(items: list[Item]) -> Iterator[list[Item]]:
    """Yield copies that lack a part: first halves, then smaller parts, down to one item (delta debugging)."""
    size = len(items) // 2 or 1
    while size:
        for start in range(0, len(items), size):
            yield items[:start] + items[start + size :]
        if size == 1:
            return
        size //= 2


def _smaller_scenarios(scenario: Scenario) -> Iterator[Scenario]:
    """Yield valid scenarios that are one reduction smaller than this one."""

    def changed(**fields: Any) -> Scenario | None:
        try:
            smaller = msgspec.structs.replace(scenario, **fields)
            return msgspec.convert(msgspec.to_builtins(smaller), Scenario)  # validated like a file
        except (msgspec.ValidationError, ValueError):
            return None

    candidates: list[Scenario | None] = []
    candidates += [
        changed(faults=kept) for kept in _sublists(scenario.faults) if len(kept) < len(scenario.faults)
    ]
    candidates += [
        changed(requests=kept) for kept in _sublists(scenario.requests) if len(kept) < len(scenario.requests)
    ]
    if scenario.weather != NetworkPlan():
        candidates.append(changed(weather=NetworkPlan()))
    if scenario.routers > 1:
        router_count = scenario.routers - 1
        requests = [
            msgspec.structs.replace(p, router=min(p.router, router_count - 1)) for p in scenario.requests
        ]
        candidates.append(changed(routers=router_count, requests=requests))
    if len(scenario.engines) > 1:
        candidates += [
            changed(engines=scenario.engines[:half])
            for half in (len(scenario.engines) // 2, len(scenario.engines) - 1)
        ]
    for index, plan in enumerate(scenario.requests):
        plain = msgspec.structs.replace(plan, client="usual", body_bytes=0, prefix="")
        if plain != plan and len(scenario.requests) <= 6:
            candidates.append(
                changed(requests=[*scenario.requests[:index], plain, *scenario.requests[index + 1 :]])
            )
    for index, fault in enumerate(scenario.faults):
        if fault.for_s > 0.2 and len(scenario.faults) <= 4:
            shorter = msgspec.structs.replace(fault, for_s=round(fault.for_s / 2, 3))
            candidates.append(
                changed(faults=[*scenario.faults[:index], shorter, *scenario.faults[index + 1 :]])
            )
    yield from (candidate for candidate in candidates if candidate is not None and candidate.engines)


def breaks_rule(scenario: Scenario, rule: str) -> bool:
    """Run a scenario, and return whether it violates a rule."""
    return any(v.rule == rule for v in run_scenario(scenario).violations)


def shrink(
    scenario: Scenario, rule: str, on_smaller: Callable[[Scenario, int], None] = lambda scenario, runs: None
) -> ShrinkResult:
    """Remove from a scenario what the violation of `rule` does not need.

    `on_smaller` is called with each smaller scenario and the number of runs so far. Raises ValueError if the
    scenario does not break the rule.
    """
    if not breaks_rule(scenario, rule):
        raise ValueError(f"the scenario does not break {rule!r}")
    runs, found = 1, True
    while found and runs < MAX_RUNS:
        found = False
        for smaller in _smaller_scenarios(scenario):
            runs += 1
            if breaks_rule(smaller, rule):
                scenario, found = smaller, True
                on_smaller(scenario, runs)
                break
            if runs >= MAX_RUNS:
                break
    return ShrinkResult(scenario, rule, runs)

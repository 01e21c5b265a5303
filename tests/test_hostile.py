"""Hostile clients against a real router process with 96 MB and 1,024 descriptors (docs/incidents)."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from sorreldock.lab.hostile.honest import Result
from sorreldock.lab.hostile.plan import Picture, Plan, Protocol
from sorreldock.lab.hostile.runner import Row, run

SPAN_S, REST_S = 5.0, 1.0
PARALLEL_RUNS = 3
CLIENTS = {
    Picture.TRICKLE: 400,
    Picture.STOP: 400,
    Picture.MANY_FIELDS: 400,
    Picture.SLOW_READERS: 300,
    Picture.LARGE_EVENTS: 300,
    Picture.FLOOD: 1,
    Picture.UNSOUND_FLOOD: 1,
    Picture.NEW_NAMES: 1,
    Picture.LEAVERS: 50,
}
Runs = dict[tuple[Picture, Protocol], Future[Row]]


@pytest.fixture(scope="module")
def picture_runs(request: pytest.FixtureRequest) -> Iterator[Runs]:
    """Play the pictures of the selected tests, some at a time."""
    chosen = [item.callspec.params for item in request.session.items if "picture_runs" in item.fixturenames]
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        yield {
            (p["picture"], p["protocol"]): pool.submit(
                run, Plan(p["picture"], p["protocol"], CLIENTS[p["picture"]], span_s=SPAN_S, rest_s=REST_S)
            )
            for p in chosen
        }


def check(row: Row) -> None:
    """Fail if the router broke its limits or a rule, or if an honest request got no answer in time."""
    assert not row.breaks() and not row.honest.results[Result.LATE], (row.breaks()[:5], row.figures())


@pytest.mark.parametrize("protocol", Protocol, ids=lambda protocol: protocol.value)
@pytest.mark.parametrize("picture", CLIENTS, ids=lambda picture: picture.value)
def test_hostile_clients_neither_exceed_the_memory_limit_nor_delay_honest_ones(
    picture: Picture, protocol: Protocol, picture_runs: Runs
) -> None:
    check(picture_runs[picture, protocol].result())

"""Reproductions of the lost-requests incident (docs/incidents) with real router processes over loopback."""

from __future__ import annotations

from sorreldock.lab.soak.clients import ClientBehaviour
from sorreldock.lab.soak.runner import Soak, Verdict, run_soak


def checked(verdict: Verdict) -> Verdict:
    """Return the verdict, or fail with its first violations and the routers' log lines on them."""
    if verdict.breaks:
        names = {line.split()[1] for line in verdict.breaks[:5]}
        logged = [
            line
            for log in verdict.logs.values()
            for line in log.splitlines()
            if any(n in line for n in names)
        ]
        raise AssertionError("\n".join([f"{len(verdict.breaks)} breaks", *verdict.breaks[:10], *logged[:20]]))
    return verdict


def test_a_router_with_thousands_of_servers_answers_in_time_while_its_list_changes() -> None:
    verdict = checked(
        run_soak(
            Soak(
                routers=1,
                servers=3200,
                span_s=6.0,
                clients=12,
                requests_per_s=30.0,
                faults_per_s=0.0,
                changes_per_s=2.0,
                client_behaviours=(ClientBehaviour.ONE_SHOT, ClientBehaviour.KEEP_ALIVE),
            )
        )
    )
    assert verdict.requests > 100 and verdict.served > 0.9 * verdict.requests


def test_no_request_is_lost_when_system_calls_fail_transiently() -> None:
    verdict = checked(run_soak(Soak(routers=4, servers=20, span_s=6.0, faults_per_s=0.0, failing_calls=0.02)))
    assert verdict.requests > 80 and verdict.served > 0.8 * verdict.requests

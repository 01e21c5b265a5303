"""Load balancing over routers: subsetting, power of two choices by outstanding calls, and ejection.

The subset is chosen by rendezvous hashing of the client's name with each router's address (highest random
weight, Thaler and Ravishankar 1998): a client always gets the same routers, different clients get different
ones, and a router that is added or removed changes only the subsets that contain it. Routers of the client's
own zone come first in the subset.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .deadline import DurationEstimate


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A router's address, `host:port`, and its zone ("" if unknown)."""

    address: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class PickRules:
    """Limits for choosing and ejecting routers; times in seconds."""

    subset: int = 8  # the number of routers a client uses; 0 for all
    eject_after: int = 2  # consecutive failures
    eject_s: float = 1.0  # of the first ejection; doubles with each further one
    longest_eject_s: float = 30.0
    going_s: float = 2.0  # how long a router that announced its stop is the last choice


@dataclass
class Router:
    """The client's record of one router."""

    endpoint: Endpoint
    outstanding: int = 0
    failures: int = 0  # consecutive
    ejections: int = 0
    ejected_until: float = 0.0
    max_outstanding: int | None = None  # limit after an ejection, doubled with each answer; None: no limit
    stopping_until: float = 0.0
    round_trip: DurationEstimate = field(default_factory=DurationEstimate)

    @property
    def address(self) -> str:
        return self.endpoint.address


def rendezvous_weight(client_name: str, address: str) -> int:
    """Return the weight of a router for this client, a hash of both; the highest weights are chosen."""
    return int.from_bytes(
        hashlib.blake2b(f"{client_name}\0{address}".encode(), digest_size=8).digest(), "big"
    )


def choose_subset(client_name: str, endpoints: Iterable[Endpoint], size: int, zone: str) -> list[Endpoint]:
    """Return the routers of this client, own zone first, each group in descending order of weight.

    When the own zone could fill all places of a subset of two or more, one place still goes to another zone,
    so that the failure of a zone does not take the whole subset with it. A size of 0 or less means all.
    """
    ranked = sorted(set(endpoints), key=lambda e: (-rendezvous_weight(client_name, e.address), e.address))
    own = [e for e in ranked if zone and e.zone == zone]
    others = [e for e in ranked if not (zone and e.zone == zone)]
    if size <= 0 or size >= len(ranked):
        return own + others
    other_zone_places = min(len(others), 1 if own and size > 1 else 0)
    chosen = own[: size - other_zone_places]
    return chosen + others[: size - len(chosen)]


class Picker:
    """The choice of a router for each attempt, and the record of what the attempts showed."""

    def __init__(
        self, client_name: str, endpoints: Iterable[Endpoint], rules: PickRules, zone: str = ""
    ) -> None:
        self.client_name, self.rules, self.zone = client_name, rules, zone
        self.routers: dict[str, Router] = {}
        self.update(endpoints)

    def update(self, endpoints: Iterable[Endpoint]) -> list[str]:
        """Replace the list of routers and return the addresses that left the subset.

        Records of routers that stay are kept.
        """
        chosen = {
            e.address: e for e in choose_subset(self.client_name, endpoints, self.rules.subset, self.zone)
        }
        removed = [address for address in self.routers if address not in chosen]
        for address in removed:
            del self.routers[address]
        for address, endpoint in chosen.items():
            if address in self.routers:
                self.routers[address].endpoint = endpoint
            else:
                self.routers[address] = Router(endpoint)
        return removed

    def is_admitted(self, router: Router, now: float) -> bool:
        """Return whether the router is not ejected and its limit after an ejection leaves room for a call."""
        if router.ejected_until > now:
            return False
        return router.max_outstanding is None or router.outstanding < router.max_outstanding

    def pick(
        self,
        now: float,
        draws: tuple[float, float],
        is_paused: Callable[[Router], bool],
        is_connected: Callable[[Router], bool],
        avoid: Iterable[str] = (),
    ) -> Router | None:
        """Return the router for an attempt, or None if every router has asked for a pause.

        Routers are ranked in tiers, and the best non-empty tier is used: not ejected before ejected, then not
        avoided, not about to stop, own zone. If all are ejected, the one whose ejection ends first is used,
        since a client that sends to no router can't learn that one has recovered. Within the tier two routers
        are drawn; the one with fewer outstanding calls is used, or of equals the one that needs no dial.
        """
        avoided = set(avoid)
        candidates = [r for r in self.routers.values() if not is_paused(r)]
        if not candidates:
            return None

        def tier(r: Router) -> tuple[bool, bool, bool, bool]:
            return (
                not self.is_admitted(r, now),
                r.address in avoided,
                r.stopping_until > now,
                bool(self.zone) and r.endpoint.zone != self.zone,
            )

        best = min(tier(r) for r in candidates)
        tied = [r for r in candidates if tier(r) == best]
        if best[0]:
            return min(tied, key=lambda r: (r.ejected_until, r.outstanding, r.address))
        if len(tied) == 1:
            return tied[0]
        first = int(draws[0] * len(tied))
        second = int(draws[1] * (len(tied) - 1))
        pair = (tied[first], tied[second + (second >= first)])
        return min(pair, key=lambda r: (r.outstanding, not is_connected(r)))

    # Results of attempts.

    def record_answer(self, router: Router) -> None:
        """Record that the router answered; a refusal counts too, since it shows that the router is alive."""
        router.failures = 0
        if router.max_outstanding is not None:
            router.max_outstanding *= 2
            if router.max_outstanding > 64:
                router.max_outstanding, router.ejections = None, 0

    def record_failure(self, router: Router, now: float) -> None:
        """Record a failure, and eject the router after enough of them, or at once while its limit applies."""
        router.failures += 1
        if router.failures < self.rules.eject_after and router.max_outstanding is None:
            return
        eject_s = min(self.rules.eject_s * 2 ** min(router.ejections, 16), self.rules.longest_eject_s)
        router.ejected_until = now + eject_s
        router.ejections += 1
        router.failures = 0
        router.max_outstanding = 1

    def record_stopping(self, router: Router, now: float) -> None:
        """Record that the router announced its stop (`Connection: close` or GOAWAY)."""
        router.stopping_until = now + self.rules.going_s

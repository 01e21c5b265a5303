"""Which router gets a request: a subset of the fleet, least outstanding of two within it, ejection.

The subset is drawn by rendezvous hashing of the client's name with each router's address (highest random
weight, Thaler and Ravishankar 1998): the same client always gets the same routers, different clients
different ones, and a router that comes or goes changes only the subsets that it is in. Routers of the
client's own zone come first in it.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .deadline import DurationEstimate


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A router: `host:port`, and its zone, if the caller knows it."""

    address: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class PickRules:
    """Limits for choosing and ejecting routers."""

    subset: int = 8
    eject_after: int = 2  # failures in a row
    eject_s: float = 1.0  # doubles with each ejection
    longest_eject_s: float = 30.0
    going_s: float = 2.0  # a router that said it stops is the last choice for so long


@dataclass
class Router:
    """What the client knows of one router."""

    endpoint: Endpoint
    outstanding: int = 0
    failures: int = 0  # in a row
    ejections: int = 0
    ejected_until: float = 0.0
    max_outstanding: int | None = (
        None  # after an ejection: calls at once, doubled with each answer; None: all
    )
    stopping_until: float = 0.0
    round_trip: DurationEstimate = field(default_factory=DurationEstimate)

    @property
    def address(self) -> str:
        return self.endpoint.address


def rendezvous_weight(client: str, address: str) -> int:
    return int.from_bytes(hashlib.blake2b(f"{client}\0{address}".encode(), digest_size=8).digest(), "big")


def choose_subset(client: str, endpoints: Iterable[Endpoint], size: int, zone: str) -> list[Endpoint]:
    """This client's routers, own zone first, each group by falling weight. At most half of the places (but at
    least one, where there are two or more) go to other zones when the own one could fill them all, so that a
    zone that goes dark does not take the whole subset with it.
    """
    ranked = sorted(set(endpoints), key=lambda e: (-rendezvous_weight(client, e.address), e.address))
    own = [e for e in ranked if zone and e.zone == zone]
    others = [e for e in ranked if not (zone and e.zone == zone)]
    if size <= 0 or size >= len(ranked):
        return own + others
    spare = min(len(others), 1 if own and size > 1 else 0)
    chosen = own[: size - spare]
    return chosen + others[: size - len(chosen)]


class Picker:
    """Chooses the router for each attempt."""

    def __init__(self, client: str, endpoints: Iterable[Endpoint], rules: PickRules, zone: str = "") -> None:
        self.client, self.rules, self.zone = client, rules, zone
        self.routers: dict[str, Router] = {}
        self.update(endpoints)

    def update(self, endpoints: Iterable[Endpoint]) -> list[str]:
        """Take a new list. What is known of routers that stay is kept; returns the addresses that left."""
        chosen = {e.address: e for e in choose_subset(self.client, endpoints, self.rules.subset, self.zone)}
        left = [address for address in self.routers if address not in chosen]
        for address in left:
            del self.routers[address]
        for address, endpoint in chosen.items():
            if address in self.routers:
                self.routers[address].endpoint = endpoint
            else:
                self.routers[address] = Router(endpoint)
        return left

    def is_admitted(self, router: Router, now: float) -> bool:
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
        """The router for an attempt; None when each that is left has asked for a pause.

        Tiers, the best that holds any router: not ejected before ejected (with all of them ejected, the one
        whose time ends first: a client that asks nobody learns nothing), not avoided, not about to stop,
        own zone. Within the tier, of two drawn the one with fewer calls out; of equals the one that needs
        no dial.
        """
        avoided = set(avoid)
        able = [r for r in self.routers.values() if not is_paused(r)]
        if not able:
            return None

        def tier(r: Router) -> tuple[bool, bool, bool, bool]:
            return (
                not self.is_admitted(r, now),
                r.address in avoided,
                r.stopping_until > now,
                bool(self.zone) and r.endpoint.zone != self.zone,
            )

        best = min(tier(r) for r in able)
        tied = [r for r in able if tier(r) == best]
        if best[0]:
            return min(tied, key=lambda r: (r.ejected_until, r.outstanding, r.address))
        if len(tied) == 1:
            return tied[0]
        first = int(draws[0] * len(tied))
        second = int(draws[1] * (len(tied) - 1))
        pair = (tied[first], tied[second + (second >= first)])
        return min(pair, key=lambda r: (r.outstanding, not is_connected(r)))

    # What attempts came to.

    def record_answer(self, router: Router) -> None:
        """It spoke, if only to refuse: it is alive."""
        router.failures = 0
        if router.max_outstanding is not None:
            router.max_outstanding *= 2
            if router.max_outstanding > 64:
                router.max_outstanding, router.ejections = None, 0

    def record_failure(self, router: Router, now: float) -> None:
        router.failures += 1
        if router.failures < self.rules.eject_after and router.max_outstanding is None:
            return
        pause = min(self.rules.eject_s * 2 ** min(router.ejections, 16), self.rules.longest_eject_s)
        router.ejected_until = now + pause
        router.ejections += 1
        router.failures = 0
        router.max_outstanding = 1

    def record_stopping(self, router: Router, now: float) -> None:
        """It said that it stops (`Connection: close`, GOAWAY)."""
        router.stopping_until = now + self.rules.going_s

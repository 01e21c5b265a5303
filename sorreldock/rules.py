"""The decisions of one gateway. Its settings, events and actions are in interface.py.

A prompt's key draws weighted straws among the replicas of the gateway's zone (CRUSH, section 3.4.4, with
straw2's ln(u)/w); flagged winners, and by keyed pseudo-random rejection a part of the keys of over-used or
cold ones, are passed over and the draw repeats with r' = r + f (section 3.2.1). docs/design.md tells why.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator, Sequence
from typing import Any

from .hashing import hash_text, hash_to_unit, mix
from .interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientGone,
    DedupScope,
    Effect,
    Event,
    FailRequest,
    FirstToken,
    Learned,
    ListKind,
    Metric,
    OutElsewhere,
    Probe,
    ProbeEnded,
    RefuseRequest,
    ReplicaEntry,
    ReplicaList,
    ReplicaState,
    RequestArrived,
    RequestClass,
    SetTimer,
    Settings,
    StartAttempt,
    Status,
    Subscribe,
    TimerFired,
)
from .policy.draw import longest_straw, sampled_rounds, straw_length
from .policy.group import ReplicaGroup
from .policy.replica import Replica
from .policy.request import UNMET, Attempt, Request

# One hash for each purpose.
REJECT, BUSY = 0xA0761D6478BD642F, 0xD6E8FEB86659FD93
COLD, ZONE = 0xE7037ED1A0B428DB, 0x8EBC6AF09C88C6E3
FAILURES = (Status.ERROR, Status.CONNECT_FAILED, Status.NO_LISTENER, Status.RESET, Status.TIMEOUT)
TRIES = 6  # draws in a bucket before the next one: with half of it rejected, 1 key in 64 gets that far
MANY_HOMES = 32  # of a prefix; beyond that a session ranks a sample of them, and not all
SAMPLED_HOMES = 8
MOST_SCANNED = 256  # replicas that a last resort looks at one by one; of more it draws some
LAST_DRAWS = 64
REMEMBERED = 1000  # keys whose draws are kept: more than the prefixes in use, a few hundred kB
SPREAD = 2.0  # homes of a prefix, as a multiple of the replicas that its share of the traffic would fill
FADE_S = 2.0  # p halves in this time while no over-use is seen; a report counts as fresh for as long
MOST_ATTEMPTS = 2  # a third try feeds the storm that failed two: clients retry as well
FIRST_FLAG_S = 2.0  # a first failure may be chance: the pause is short, and doubles with each repeat
LONGEST_FLAG_S = 16.0
MOST_DOUBLED = 8  # times; past the longest pauses, and a float holds no power of some thousand
# A replica that shares its steps among too many streams may report no queue: what shows it is the number of
# own attempts that are out. Beyond this multiple of its fair share, and beyond chance, it is crowded.
CROWDED = 1.25
ZONE_CROWDED = 0.8  # of the whole fleet's fair share; measured: what crosses costs less than slow streams
# What one process of a gateway tells the one that follows: of each replica, and of the whole.
LEARNED = (
    "failed_until",
    "failure_count",
    "first_at",
    "first_s",
    "load",
    "load_at",
    "p",
    "refused",
    "refused_at",
)
LEARNED_IN_ALL = (
    "heat",
    "seen",
    "quantile",
    "mean_report",
    "zone_load",
    "zone_first",
    "value_sum",
    "first_sum",
    "zone_p",
    "zone_p_at",
    "lateness",
)
MANY = 6  # gateways; where there are more, each surveys for fewer of its requests: they all pay for all
UNHEARD_S = 0.26  # a probe has ended by then, answered or not
PASSED_S = 0.5  # one sent so much later has begun, in a third of the time: the earlier one is stuck
ROOMY = 6.5
MOST_MOVES = 3.0  # at once; a tenth of those served in the long run: what moves may have run for nothing
FEW = 2.0  # attempts out that never count as a crowd


class Gateway:
    """The decisions of one gateway: events in, actions out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.replicas: dict[int, Replica] = {}
        guarantees = settings.guarantees
        self.local_zone, self.all_zones, self.other_zones = (
            ReplicaGroup(guarantees.cold_share, guarantees.warm_up_s) for _ in range(3)
        )
        self.winners: dict[tuple[int, bool], dict[int, Replica]] = {}
        self.requests: dict[str, Request] = {}
        self.awaiting_probe: dict[str, Request] = {}  # those that wait for a probe
        self.now = 0.0
        self.out: list[Action] = []
        self.heat: dict[str, float] = {}
        self.seen = 0.0
        self.quantile = {c.name: c.aim_s / 2 for c in settings.classes}
        self.moves = 0.0  # late requests that may go elsewhere: earned by first tokens, from which it learns
        self.probe_credit = 1.0
        self.mean_report = [0.0] * len(settings.metrics)
        self.zone_load = dict.fromkeys(settings.zones, 1.0)
        self.zone_first = dict.fromkeys(settings.zones, 0.0)
        self.value_sum: list[float] = []
        self.first_sum: list[float] = []
        self.zone_p = self.zone_p_at = self.lateness = 0.0
        self.zone_salt = mix(hash_text(settings.zone))
        self.asked = False  # for a watch that is on, or that has not been lost since
        self.lost = 0
        self.fresh = {c.name: math.inf for c in settings.classes}  # new tokens a turn

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        self.now, self.out = now, []
        for event in events:
            match event:
                case RequestArrived():
                    self.on_request(event)
                case FirstToken():
                    self.on_first_token(event)
                case AttemptEnded():
                    self.on_attempt_ended(event)
                case ProbeEnded():
                    self.on_probe_ended(event)
                case TimerFired():
                    self.on_timer(event.token)
                case ReplicaList():
                    self.on_list(event)
                case ClientGone():
                    self.on_client_gone(event)
                case OutElsewhere(counts):
                    self.on_out_elsewhere(counts)
                case Learned(snapshot):
                    self.on_learned(snapshot)
        return self.out

    # Placement: the draw, its rejections, and what remains when it yields nothing.

    def candidates(self, request: Request, bucket: ReplicaGroup) -> Iterator[tuple[int, Replica]]:
        """Distinct winners: the prefix's homes (r = 0..n-1) as the session ranks them, then further draws."""
        if not bucket:
            return
        homes = min(request.homes, len(bucket))
        drawn = self.drawn_homes(request, bucket, homes)
        ranked = sorted(drawn, key=lambda m: straw_length(request.member_key, m), reverse=True)
        yield from enumerate(ranked)
        for r in range(len(drawn) if homes <= MANY_HOMES else homes, homes + TRIES):
            if len(drawn) == len(bucket):
                return
            winner = self.drawn(bucket, request.prefix_key, r)
            if winner not in drawn:
                drawn[winner] = None
                yield len(drawn) - 1, winner

    def drawn_homes(self, request: Request, bucket: ReplicaGroup, homes: int) -> dict[Replica, None]:
        """A prefix's homes; where there are many, those among which this request's session has its own."""
        if homes > MANY_HOMES:
            rounds = sampled_rounds(request.member_key, homes, SAMPLED_HOMES)
            return dict.fromkeys(self.drawn(bucket, request.prefix_key, r) for r in rounds)
        drawn: dict[Replica, None] = {}
        for r in range(homes + TRIES):  # some rounds draw a home again
            if len(drawn) == homes:
                break
            drawn[self.drawn(bucket, request.prefix_key, r)] = None
        return drawn

    def drawn(self, bucket: ReplicaGroup, x: int, r: int) -> Replica:
        """The draw's winner, kept until a change to the list moves keys."""
        known = self.winners.get((x, bucket is self.local_zone))
        if known is None:
            if len(self.winners) >= REMEMBERED:
                self.winners.clear()
            known = self.winners[x, bucket is self.local_zone] = {}
        winner = known.get(r)
        if winner is None:
            winner = known[r] = bucket.draw(x, r)
        return winner

    def buckets(self, request: Request) -> tuple[ReplicaGroup, ReplicaGroup]:
        """The zone first, but an over-used or crowded zone is itself rejected for a part of the keys."""
        p = max(self.zone_p, self.zone_crowding())
        away = hash_to_unit(mix(request.member_key ^ ZONE), self.zone_salt) < p
        if request.attempts and request.attempts[-1].ended in UNMET:  # what lies between zones may be cut
            away = request.attempts[-1].replica.entry.zone == self.settings.zone
        if away and self.other_zones:
            return self.other_zones, self.local_zone
        return self.local_zone, self.other_zones

    def zone_crowding(self) -> float:
        """The part of the keys that leaves a zone whose replicas are too few for what this gateway has out
        there, measured by the fair share of the whole fleet if all gateways have as much out.
        """
        if not self.local_zone or not self.other_zones:
            return 0.0
        here = self.local_zone.open_attempts / max(self.local_zone.capacity(self.now), 1e-9)
        fair = (
            self.settings.gateways
            * self.all_zones.open_attempts
            / max(self.all_zones.capacity(self.now), 1e-9)
        )
        bound = max(ZONE_CROWDED * fair, ROOMY / max(self.all_zones.mean_weight, 1e-9))
        return min(max(here / bound - 1.0, 0.0), 0.9)

    def accepts(self, request: Request, replica: Replica, history: float) -> bool:
        kept = max(request.event.prefix_tokens / max(request.event.prompt_tokens, 1), history)
        aim, few = self.aim(request), self.settings.gateways <= MANY
        usual = 0.5 * aim if few else self.zone_first[replica.entry.zone]  # many learn too late
        late = 2.0 * (self.expected(replica) - usual) / aim - kept
        age = min(max(self.now - replica.load_at, 0.0), 60.0)  # one rejected is seldom asked: p must fade
        p = max(replica.p * math.exp2(-age / FADE_S) - kept, self.refusals(replica), late)
        return hash_to_unit(mix(request.member_key ^ REJECT), replica.salt) >= p

    def history(self, request: Request) -> float:
        """The part of a later turn's prompt that its session's home has kept."""
        event, fresh = request.event, self.fresh[request.cls.name]
        later = event.session and event.prompt_tokens - event.prefix_tokens >= 2.0 * fresh
        return 1.0 - fresh / event.prompt_tokens if later else 0.0

    def crowding(self, replica: Replica, bucket: ReplicaGroup) -> float:
        """Own attempts out at a replica, with one more, as a multiple of the bound on its share of them."""
        share = self.capacity(replica) / max(bucket.capacity(self.now), 1e-9)
        mean = share * (bucket.open_attempts + 1)
        chance = 2.0 * math.sqrt(mean * max(1.0 - MANY / self.settings.gateways, 0.0))  # a small part of all
        return (replica.open_attempts + 1) / max(CROWDED * mean, mean + chance, FEW)

    def capacity(self, replica: Replica) -> float:
        """What the draw counts on; speeds are not known, but who is slow keeps its attempts for longer."""
        return 0.0 if replica.failed_until > self.now else replica.weight * self.capacity_share(replica)

    def choose_replica(self, request: Request) -> Replica | None:
        tried = [a.replica for a in request.attempts]
        spare: Replica | None = None
        for bucket in self.buckets(request):
            least: Replica | None = None
            fewest, kept = math.inf, self.history(request) if bucket is self.local_zone else 0.0
            for rank, replica in self.candidates(request, bucket):
                rank += 0 if bucket is self.local_zone else 1
                if replica in tried or not self.permitted(request, replica):
                    continue
                if replica.failed_until <= self.now and self.warm_for(request, replica, rank):
                    history, kept = kept, 0.0  # its home is the first of these
                    if self.accepts(request, replica, history):
                        crowding = self.crowding(replica, bucket)
                        excess = crowding - 1.0 - history
                        if hash_to_unit(mix(request.member_key ^ BUSY), replica.salt) >= 2.0 * excess:
                            return replica
                        if crowding < fewest:
                            least, fewest = replica, crowding
                        continue
                if self.usable(replica) and (spare is None or self.expected(replica) < self.expected(spare)):
                    spare = replica
            if least is not None:  # crowded is not over-used: nothing crosses for it
                return least
        if spare is not None:  # all are over-used; an estimate alone refuses nobody
            return spare
        for failed in (False, True):  # beyond the draws: whoever is left, and at last those with a flag
            for bucket in self.buckets(request):
                left = [
                    r for r in self.last_resorts(request, bucket) if r not in tried and self.usable(r, failed)
                ]
                if left := [r for r in left if self.permitted(request, r)]:
                    return longest_straw(left, mix(request.prefix_key))
        return None

    def last_resorts(self, request: Request, bucket: ReplicaGroup) -> Sequence[Replica]:
        """All replicas of a bucket, or some of many: a look at thousands would hold up all other requests."""
        if len(bucket) <= MOST_SCANNED:
            return bucket
        first = request.homes + TRIES
        return list(dict.fromkeys(bucket.draw(request.prefix_key, first + n) for n in range(LAST_DRAWS)))

    def usable(self, replica: Replica, failed: bool = False) -> bool:
        """Whether it may be a last resort. One that turned requests away twice in 2 s would do so again."""
        flagged = replica.failed_until > self.now and not failed
        return self.capacity_share(replica) >= 1.0 and self.refusals(replica) <= 0.5 and not flagged

    # Warm-up.

    def capacity_share(self, replica: Replica) -> float:
        """The share of its work that a replica can do at least, as the guarantees state it."""
        g = self.settings.guarantees
        started_at = max(replica.entry.started_at, replica.down_at)
        age = self.now - started_at
        if started_at <= 0.0 or age >= g.warm_up_s:
            return 1.0
        return g.cold_share + (1.0 - g.cold_share) * max(age, 0.0) / g.warm_up_s

    def warm_for(self, request: Request, replica: Replica, rank: int) -> bool:
        """A cold one takes its share of its keys by session, lest each turn finds another home. At worst each
        choice brings it as much as the first: so many that half a share is left until it falls over.
        """
        warm, most = self.capacity_share(replica), self.settings.guarantees.overload_multiple
        spared = request.attempts or rank + 1.5 > max(most, 1.5)
        # A gateway that has seen little counts too few homes for a heavy prefix: each would bring its share.
        part = warm / max(SPREAD * request.share * len(self.local_zone) / request.homes, 1.0)
        return warm >= 1.0 or (
            not spared and hash_to_unit(mix(request.member_key ^ COLD), replica.salt) < part
        )

    # Health.

    def failed(self, replica: Replica) -> None:
        pause = min(FIRST_FLAG_S * 2**replica.failure_count, LONGEST_FLAG_S)
        replica.failure_count = min(replica.failure_count + 1, MOST_DOUBLED)
        replica.failed_until = self.now + pause * self.random.uniform(0.75, 1.25)

    def aim(self, request: Request) -> float:
        return request.cls.aim_s + request.cls.aim_s_per_1k_tokens * request.event.prompt_tokens / 1000.0

    def refusals(self, replica: Replica) -> float:
        """The part of p that refusals raised; it halves every two seconds without one."""
        return replica.refused * math.exp2(-min((self.now - replica.refused_at) / FADE_S, 60.0))

    def over_used(self, replica: Replica) -> None:
        replica.refused, replica.refused_at = min(0.5 + self.refusals(replica), 1.0), self.now

    def expected(self, replica: Replica) -> float:
        """The first-token time to be expected of a replica: by its report, else by its zone's mean."""
        if self.now - replica.load_at < 2.0:
            return replica.first_s
        return self.zone_first[replica.entry.zone]

    def learn_scale(self, attempt: Attempt, latency: float) -> None:
        """What a unit of each reported value means in seconds until the first token, by experience."""
        for k, value in enumerate(attempt.values):
            self.value_sum[k] = self.value_sum[k] * 0.98 + value
            self.first_sum[k] = self.first_sum[k] * 0.98 + latency

    def on_report(self, replica: Replica, report: tuple[float, ...], fair: bool = True) -> None:
        if len(report) != len(self.settings.metrics):
            return
        ratios, values = [], []
        for k, (metric, value) in enumerate(zip(self.settings.metrics, report, strict=True)):
            if metric in (Metric.IN_FLIGHT, Metric.QUEUE_LENGTH, Metric.UNREAD_KTOKENS):
                value, floor = value * self.all_zones.mean_weight / replica.weight, 1.0
                values.append(value + floor)
            elif metric in (Metric.UTILIZATION, Metric.MEMORY_SHARE):
                floor = 0.2
            elif metric is Metric.LATENCY_MS:
                values.append(value + 1.0)
                continue
            else:
                continue
            if fair:
                self.mean_report[k] += (value - self.mean_report[k]) * 0.05
            ratios.append((value + floor) / (self.mean_report[k] + floor))
        if not ratios:
            return
        replica.load, replica.load_at = max(ratios), self.now
        zone = replica.entry.zone
        replica.values = tuple(values)
        if not self.value_sum:
            self.value_sum, self.first_sum = [1e-9] * len(values), [0.0] * len(values)
        firsts = [v * f / s for v, s, f in zip(values, self.value_sum, self.first_sum, strict=True)]
        replica.first_s = sum(firsts) / len(firsts) if firsts else 0.0
        if fair:
            self.zone_first[zone] += (replica.first_s - self.zone_first[zone]) * 0.15
            self.zone_load[zone] += (min(replica.load, 4.0) - self.zone_load[zone]) * 0.15
        replica.p = replica.load / max(self.zone_load[zone], 1.0) - 1.0
        self.steer_zone()

    def steer_zone(self) -> None:
        """Let the zone's own p rise while it is over-used and others are not, and decay otherwise."""
        elapsed, self.zone_p_at = min(self.now - self.zone_p_at, 2.0), self.now
        others = [load for zone, load in self.zone_load.items() if zone != self.settings.zone]
        if not others:
            return
        excess = self.zone_load[self.settings.zone] / (sum(others) / len(others)) - 1.1
        late = min(max((self.lateness - 0.1) / 0.2, 0.0), 1.0)  # a quiet day's few late ones cross nothing
        push = excess * 0.4 * late if excess > 0 else excess * 0.4
        self.zone_p = min(max(self.zone_p + elapsed * (push - 0.02 * self.zone_p), 0.0), 0.9)

    def on_probe_ended(self, event: ProbeEnded) -> None:
        replica = self.replicas.get(event.replica)
        if replica is None:
            return
        if event.status in (Status.OK, Status.FULL):
            replica.heard_at = self.now
        if event.status is Status.OK:
            self.on_report(replica, event.report, replica.fair)
        elif event.status is not Status.NOT_SENT:  # which says nothing of the replica
            replica.down_at = self.now if event.status is Status.NO_LISTENER else replica.down_at
            self.over_used(replica)
        # Not all open requests: looking at each of them used up the CPU under a storm of probes.
        for request in list(self.awaiting_probe.values()):
            if request.awaited is replica:
                del self.awaiting_probe[request.event.request]
                request.awaited = None
                self.place(request)

    # The life of a request.

    def on_request(self, event: RequestArrived) -> None:
        cls = self.classes.get(event.request_class)
        if cls is None or event.request in self.requests:
            return
        request = Request(event, cls, *self.homes(event))
        self.requests[event.request] = request
        self.survey()
        if self.settings.limits.probes:
            patience = min(0.1 * cls.aim_s, 0.5 * (event.expires_at - self.now))
            request.patient_until = self.now + patience
            self.out.append(SetTimer(max(patience, 0.001), f"place:{event.request}"))
        self.place(request)

    def homes(self, event: RequestArrived) -> tuple[int, float]:
        """How many homes a prefix needs, and its share of what this gateway has seen lately."""
        if not event.shared_prefix:
            return 1, 0.0
        self.seen = self.seen * 0.995 + 1.0
        if self.random.random() < 0.02:
            self.heat = {k: v for k, v in ((k, v * 0.995**50) for k, v in self.heat.items()) if v > 0.1}
        heat = self.heat[event.shared_prefix] = self.heat.get(event.shared_prefix, 0.0) + 1.0
        homes = math.ceil(SPREAD * heat / (self.seen + 5.0) * len(self.local_zone) - 0.5)
        return max(1, homes), heat / self.seen

    def survey(self) -> None:
        """Sample the load of the whole fleet, now and then, where probes are allowed and cheap enough."""
        price, part = self.settings.prices.probe, MANY / self.settings.gateways
        if self.lateness > 0.1:  # then its zone may be worse off than others, of which few surveys tell
            part = 1.0
        if self.settings.limits.probes and self.all_zones:
            self.probe_credit = min(self.probe_credit + min(3.0, 0.005 / max(price, 1e-6)), 6.0)
            other = self.random.choice(self.all_zones)
            if self.random.random() < part and max(other.load_at + 0.1, other.failed_until) <= self.now:
                self.ask_load(other, True)

    def ask_load(self, replica: Replica, fair: bool) -> bool:
        """Probe a replica, unless a probe is already out or the credit is used up."""
        if self.now - replica.probed_at > 0.1:
            if self.probe_credit < 1.0:
                return False
            self.probe_credit -= 1.0
            replica.probed_at, replica.fair = self.now, fair or self.settings.gateways > MANY
            self.out.append(Probe(replica.entry.replica))
        return True

    def consults(self, request: Request, replica: Replica) -> bool:
        """Whether to hear the replica's load before it is sent the request."""
        fresh = self.now - replica.load_at < 0.1
        if request.patient_until <= self.now or fresh or replica in request.asked:
            return False
        if not self.ask_load(replica, False):
            return False
        request.asked.append(replica)
        request.awaited = replica
        self.awaiting_probe[request.event.request] = request
        return True

    def permitted(self, request: Request, replica: Replica) -> bool:
        """The second rule: no effect twice."""
        effect = request.cls.effect
        if effect is Effect.SAFE:
            return True
        for attempt in request.attempts:
            if not attempt.may_have_run():
                continue
            if effect is Effect.UNSAFE or self.now - attempt.sent_at > request.cls.dedup_window_s:
                return False
            mine, other = replica.entry, attempt.replica.entry
            scope = request.cls.dedup_scope
            if scope is not DedupScope.ALL and mine.zone != other.zone:
                return False
            if scope is DedupScope.CELL and mine.cell != other.cell:
                return False
        return True

    def has_another(self, request: Request) -> bool:
        spent = sum(a.ended not in UNMET for a in request.attempts)
        return len(request.attempts) < self.settings.limits.max_attempts and spent < MOST_ATTEMPTS

    def place(self, request: Request) -> bool:
        """Send the next attempt or, when none can be sent and none is out, end the request."""
        left = request.event.expires_at - self.now
        if left > 0 and self.has_another(request):
            replica = self.choose_replica(request)
            if replica is not None:
                if not self.consults(request, replica):
                    self.send(request, replica, left)
                return True
        if not request.running():
            self.end(request)
        return False

    def send(self, request: Request, replica: Replica, left: float) -> None:
        request.attempts.append(Attempt(replica, self.now))
        replica.open_attempts += 1
        self.out.append(StartAttempt(request.event.request, replica.entry.replica, left))
        late = max(self.quantile[request.cls.name], 0.5 * self.aim(request), 3.0 * self.expected(replica))
        if request.cls.streamed and late < left:
            self.out.append(SetTimer(late, f"late:{request.event.request}:{len(request.attempts) - 1}"))

    def end(self, request: Request) -> None:
        refusable = request.cls.effect is Effect.SAFE or not any(a.may_have_run() for a in request.attempts)
        if request.cls.effect is Effect.KEYED and request.cls.dedup_scope is DedupScope.ALL:
            refusable = True
        name = request.event.request
        self.out.append(RefuseRequest(name, self.advice(request)) if refusable else FailRequest(name))
        self.finish(request)

    def advice(self, request: Request) -> float:
        """When to come again: p has halved by then. Spread, lest those refused together return together."""
        limits = self.settings.limits
        pause = min(FADE_S * self.random.uniform(0.25, 0.75), limits.max_retry_after_s)
        left = request.event.expires_at - self.now
        return 0.0 if not limits.retry_advice else min(pause, 0.5 * left) if left > 0 else pause

    def finish(self, request: Request) -> None:
        request.done = True
        self.awaiting_probe.pop(request.event.request, None)
        if not request.running():
            del self.requests[request.event.request]

    def on_first_token(self, event: FirstToken) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        attempt.started = True
        self.moves = min(self.moves + 0.1, MOST_MOVES)
        attempt.replica.first_at = self.now
        attempt.replica.passed = max(attempt.replica.passed, (attempt.sent_at, event.latency_s))
        attempt.replica.failure_count = max(attempt.replica.failure_count - 1, 0)
        self.learn(request.cls, self.now - attempt.sent_at)
        self.learn_scale(attempt, event.latency_s)
        if attempt.replica.entry.zone == self.settings.zone:
            self.lateness += ((event.latency_s > self.aim(request) / 2) - self.lateness) * 0.05

    def learn(self, cls: RequestClass, latency: float) -> None:
        """Follow the 95th percentile of first tokens by stochastic approximation."""
        q = self.quantile[cls.name]
        self.quantile[cls.name] = q * (1.0 + (0.19 if latency > q else -0.01))

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.ended is not None:
            return
        attempt.ended = event.status
        replica = attempt.replica
        replica.open_attempts -= 1
        if event.status is Status.OK:
            replica.failure_count = max(replica.failure_count - 1, 0)
        replica.down_at = self.now if event.status is Status.NO_LISTENER else replica.down_at
        if event.status in FAILURES:
            self.failed(replica)
        elif event.status is Status.FULL:
            self.over_used(replica)
        if event.report:
            self.on_report(replica, event.report)
        if request.event.prefix_tokens < event.cached_tokens < request.event.prompt_tokens:
            new, known = request.event.prompt_tokens - event.cached_tokens, self.fresh[request.cls.name]
            self.fresh[request.cls.name] = known + (new - known) * 0.05 if known < math.inf else new
        if event.final or request.done:
            self.finish(request)
        elif not request.running() and request.awaited is None:
            self.place(request)

    def on_client_gone(self, event: ClientGone) -> None:
        request = self.requests.get(event.request)
        if request is not None and not request.done:
            if self.settings.limits.cancel and request.running() and not request.attempts[-1].started:
                self.out.append(CancelAttempt(request.event.request, len(request.attempts) - 1))
            self.finish(request)

    def on_timer(self, token: str) -> None:
        kind, _, rest = token.partition(":")
        if kind == "ask":
            if not self.asked:
                self.asked = True
                self.out.append(Subscribe())
            return
        name, _, number = rest.partition(":")
        request = self.requests.get(name)
        if request is None or request.done:
            return
        if kind == "place" and request.awaited is not None:
            self.over_used(request.awaited)  # its probe waits as a request would
            self.awaiting_probe.pop(name, None)
            request.awaited, request.patient_until = None, -math.inf  # lest it waits for a second probe
            self.place(request)
        elif kind == "late" and number.isdigit() and not any(a.started for a in request.attempts):
            self.on_late(request, int(number))

    def on_late(self, request: Request, number: int) -> None:
        """An attempt that is late goes elsewhere where its replica is silent, or its answer seems lost."""
        attempt = request.attempts[number]
        replica, limits, waited = attempt.replica, self.settings.limits, self.now - attempt.sent_at
        if attempt.ended is not None or len(request.attempts) != number + 1:
            return
        movable = limits.cancel and request.cls.effect is Effect.SAFE and self.has_another(request)
        self.out.append(SetTimer(0.3 * request.cls.aim_s, f"late:{request.event.request}:{number}"))
        if limits.probes and replica.probed_at <= max(attempt.sent_at, self.now - 1.0):
            self.ask_load(replica, False)  # thin traffic alone can't tell
            return
        heard = max(replica.first_at, replica.load_at, replica.heard_at)
        if heard >= (replica.probed_at if limits.probes else attempt.sent_at):
            sent_at, first_s = replica.passed
            stuck = sent_at > attempt.sent_at + PASSED_S and waited > 3.0 * first_s
            lost = waited > 3.0 * max(self.expected(replica), self.quantile[request.cls.name])
            if limits.probes and movable and lost and self.moves >= 1.0:
                stuck, self.moves = True, self.moves - 1.0
        elif limits.probes and self.now - replica.probed_at < UNHEARD_S:
            return
        else:
            if 2 * self.local_zone.flagged(self.now) < len(self.local_zone):
                self.failed(replica)  # when all slow together, none is to blame
            stuck = limits.probes
        if stuck and movable:
            self.out.append(CancelAttempt(request.event.request, number))  # its end sends it elsewhere

    # Discovery.

    def on_list(self, event: ReplicaList) -> None:
        if event.kind is ListKind.LOST:
            self.asked = False
            self.lost = min(self.lost + 1, MOST_DOUBLED)
            self.ask_later(min(0.05 * 2**self.lost, 0.4))
            return
        if event.kind is ListKind.CACHED:
            if self.settings.must_ask_for_list:
                self.ask_later(0.3)
        elif self.asked:
            self.lost = 0
        if event.kind is not ListKind.DELTA:
            listed = {entry.replica for entry in event.entries}
            for number in [number for number in self.replicas if number not in listed]:
                self.regroup(self.replicas.pop(number), ())
        for entry in event.entries:
            self.on_entry(entry)

    def on_entry(self, entry: ReplicaEntry) -> None:
        known = self.replicas.get(entry.replica)
        if entry.state is ReplicaState.GONE:
            if known is not None:
                self.regroup(self.replicas.pop(entry.replica), ())
            return
        # Guards the decisions: a list may name a zone that the settings don't, and lookups would fail.
        self.zone_load.setdefault(entry.zone, 1.0)
        self.zone_first.setdefault(entry.zone, 0.0)
        if known is None:
            known = self.replicas[entry.replica] = Replica(entry)
        elif entry.started_at > known.entry.started_at:
            known.forget()
        if known.weight != max(entry.weight, 0.0):
            self.winners.clear()
        known.entry, known.weight = entry, entry.weight
        here = self.local_zone if entry.zone == self.settings.zone else self.other_zones
        self.regroup(known, (self.all_zones, here) if entry.state is ReplicaState.READY else ())

    def regroup(self, replica: Replica, groups: tuple[ReplicaGroup, ...]) -> None:
        """Let a replica be in these groups, and no other; draws are taken anew if that is a change."""
        if replica.groups == groups:
            return
        for group in (self.all_zones, self.local_zone, self.other_zones):
            if replica in group and group not in groups:
                group.discard(replica)
        for group in groups:
            if replica not in group:
                group.add(replica)
        self.winners.clear()

    # What another process of this gateway has learned, and has out.

    def snapshot(self) -> dict[str, Any]:
        """In values that JSON knows, for a process with the same settings."""
        replicas = {
            str(n): [r.entry.started_at, *(max(getattr(r, name), 0.0) for name in LEARNED)]
            for n, r in self.replicas.items()
        }
        return {"of": self.kin(), "replicas": replicas, **{n: getattr(self, n) for n in LEARNED_IN_ALL}}

    def kin(self) -> list[list[str]]:
        s = self.settings
        return [[m.name for m in s.metrics], [c.name for c in s.classes], list(s.zones)]

    def on_learned(self, learned: dict[str, Any]) -> None:
        """What doesn't fit the list any more is left out."""
        if learned.get("of") != self.kin():
            return
        for name in LEARNED_IN_ALL:
            mine, told = getattr(self, name), learned[name]
            setattr(self, name, mine | told if isinstance(mine, dict) else told)
        for number, (started_at, *values) in learned["replicas"].items():
            replica = self.replicas.get(int(number))
            if replica is not None and replica.entry.started_at == started_at:
                for name, value in zip(LEARNED, values, strict=True):
                    setattr(replica, name, value)

    def on_out_elsewhere(self, counts: dict[int, int]) -> None:
        """What another process of this gateway has out counts like what is out here."""
        for number, replica in self.replicas.items():
            told = counts.get(number, 0)
            replica.open_attempts, replica.elsewhere = replica.open_attempts + told - replica.elsewhere, told

    def ask_later(self, share: float) -> None:
        """Spread the calls, lest all gateways ask in step after one loss or a common start."""
        most = share * self.settings.guarantees.list_max_age_s
        self.out.append(SetTimer(max(self.random.uniform(0.2, 1.0) * most, 0.001), "ask"))

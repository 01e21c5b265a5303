"""The decisions of one gateway; its settings, events and actions are in `interface`.

Weighted straws (CRUSH, section 3.4.4, with straw2's ln(u)/w) choose a replica in the gateway's zone for the
key of a prompt. An ejected winner is passed over, and so is an overloaded or cold one for a part of its keys,
by keyed pseudo-random rejection; the draw then repeats with r' = r + f (section 3.2.1). docs/design.md gives
the reasons.
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
from .policy.request import NOT_RECEIVED, Attempt, Request

# One hash seed for each purpose, so that the pseudo-random decisions are independent of each other.
REJECTION_SEED, CROWDING_SEED = 0xA0761D6478BD642F, 0xD6E8FEB86659FD93
COLD_SEED, ZONE_SEED = 0xE7037ED1A0B428DB, 0x8EBC6AF09C88C6E3
FAILURE_STATUSES = (Status.ERROR, Status.CONNECT_FAILED, Status.NO_LISTENER, Status.RESET, Status.TIMEOUT)
# Draws in a bucket beyond the homes, before the next bucket: with half of a bucket rejected, 1 key in 64
# uses all of them.
MAX_FURTHER_DRAWS = 6
MAX_RANKED_HOMES = 32  # homes of a prefix that a session ranks; of more it ranks a sample
SAMPLED_HOMES = 8
MAX_SCANNED_REPLICAS = 256  # replicas that the last resort examines one by one; from more it draws some
LAST_RESORT_DRAWS = 64
MAX_CACHED_KEYS = 1000  # keys whose draws are cached: more than the prefixes in use, a few hundred kB
HOMES_MULTIPLE = 2.0  # homes of a prefix per replica that its share of the traffic would fill
REJECTION_HALF_LIFE_S = 2.0  # of a rejection probability without new overload; a report is fresh for as long
MAX_RECEIVED_ATTEMPTS = 2  # clients retry as well: a third attempt would add to the overload that failed two
FIRST_EJECTION_S = 2.0  # short, since a first failure may be chance; doubles with each further failure
MAX_EJECTION_S = 16.0
MAX_DOUBLINGS = 8  # of a pause: enough to reach the longest one; some thousand would overflow a float
# A replica that shares its steps among too many streams may report no queue. It counts as crowded if this
# gateway's open attempts there exceed this multiple of its fair share, and by more than chance.
CROWDED_MULTIPLE = 1.25
# Of the fair share in the whole fleet: requests that cross zones cost less than slow streams.
CROWDED_ZONE_MULTIPLE = 0.8
# What a gateway's snapshot holds of each replica: the attributes' values, by position in a list.
REPLICA_SNAPSHOT_ATTRIBUTES = (
    "ejected_until",
    "failure_count",
    "first_token_at",
    "estimated_first_token_s",
    "load",
    "load_reported_at",
    "rejection_probability",
    "refusal_level",
    "refused_at",
)
# What it holds of the gateway as a whole: the attribute by the key in the snapshot. The keys pass between
# processes of different versions.
SNAPSHOT_ATTRIBUTES = {
    "heat": "prefix_counts",
    "seen": "prefixed_count",
    "quantile": "first_token_p95_s",
    "mean_report": "mean_report",
    "zone_load": "zone_load",
    "zone_first": "zone_first_token_s",
    "value_sum": "report_value_sums",
    "first_sum": "first_token_sums_s",
    "zone_p": "zone_rejection_probability",
    "zone_p_at": "zone_rejection_updated_at",
    "lateness": "late_fraction",
}
MANY_GATEWAYS = 6  # with more, each probes for fewer of its requests, since all their probes add up
MAX_PROBE_S = 0.26  # a probe has ended by then, answered or not
# An attempt is stuck if one that was sent more than this later got its first token in less than a third of
# the time for which the stuck one has waited.
OVERTAKING_LAG_S = 0.5
UNCROWDED_ZONE_ATTEMPTS = 6.5  # open attempts for each replica of mean weight that never make a zone crowded
# Late requests that may be moved in quick succession. In the long run at most a tenth of the served requests
# is moved, since a moved one may have run for nothing.
MAX_MOVE_CREDIT = 3.0
UNCROWDED_ATTEMPTS = 2.0  # open attempts that never make a replica crowded


class Gateway:
    """One instance of the decision module, which takes events and returns actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.replicas: dict[int, Replica] = {}
        guarantees = settings.guarantees
        self.local_zone, self.all_zones, self.other_zones = (
            ReplicaGroup(guarantees.cold_share, guarantees.warm_up_s) for _ in range(3)
        )
        self.draw_cache: dict[tuple[int, bool], dict[int, Replica]] = {}
        self.requests: dict[str, Request] = {}
        self.awaiting_probe: dict[str, Request] = {}  # requests that are held until a probe ends
        self.now = 0.0
        self.actions: list[Action] = []
        self.prefix_counts: dict[str, float] = {}  # recent requests by prefix; older ones count for less
        self.prefixed_count = 0.0  # recent requests that have a prefix
        self.first_token_p95_s = {c.name: c.aim_s / 2 for c in settings.classes}
        # Late requests that may be moved; added to by first tokens, which also teach what is late.
        self.move_credit = 0.0
        self.probe_credit = 1.0
        self.mean_report = [0.0] * len(settings.metrics)
        self.zone_load = dict.fromkeys(settings.zones, 1.0)
        self.zone_first_token_s = dict.fromkeys(settings.zones, 0.0)
        self.report_value_sums: list[float] = []
        self.first_token_sums_s: list[float] = []
        self.zone_rejection_probability = self.zone_rejection_updated_at = self.late_fraction = 0.0
        self.zone_salt = mix(hash_text(settings.zone))
        self.is_subscribed = False  # stays set until discovery reports the subscription's loss
        self.subscription_losses = 0
        self.new_tokens_per_turn = {c.name: math.inf for c in settings.classes}

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        """Return the actions that follow from these events, which all take effect at `now`, in order."""
        self.now, self.actions = now, []
        for event in events:
            match event:
                case RequestArrived():
                    self.on_request_arrived(event)
                case FirstToken():
                    self.on_first_token(event)
                case AttemptEnded():
                    self.on_attempt_ended(event)
                case ProbeEnded():
                    self.on_probe_ended(event)
                case TimerFired():
                    self.on_timer_fired(event.token)
                case ReplicaList():
                    self.on_replica_list(event)
                case ClientGone():
                    self.on_client_gone(event)
                case OutElsewhere(counts):
                    self.on_peer_process_attempts(counts)
                case Learned(snapshot):
                    self.on_peer_process_snapshot(snapshot)
        return self.actions

    # Placement: the draw, its rejections, and what remains when it finds no replica.

    def candidates(self, request: Request, bucket: ReplicaGroup) -> Iterator[tuple[int, Replica]]:
        """Yield distinct winners with their rank: the prefix's homes in the session's order, then more draws.

        The homes are the winners of the rounds 0 to n - 1.
        """
        if not bucket:
            return
        home_count = min(request.home_count, len(bucket))
        winners = self.draw_homes(request, bucket, home_count)
        ranked = sorted(winners, key=lambda home: straw_length(request.session_key, home), reverse=True)
        yield from enumerate(ranked)
        for round_number in range(
            len(winners) if home_count <= MAX_RANKED_HOMES else home_count, home_count + MAX_FURTHER_DRAWS
        ):
            if len(winners) == len(bucket):
                return
            winner = self.cached_draw(bucket, request.prefix_key, round_number)
            if winner not in winners:
                winners[winner] = None
                yield len(winners) - 1, winner

    def draw_homes(self, request: Request, bucket: ReplicaGroup, home_count: int) -> dict[Replica, None]:
        """Return a prefix's homes; of many, the sample that contains the home of the request's session."""
        if home_count > MAX_RANKED_HOMES:
            rounds = sampled_rounds(request.session_key, home_count, SAMPLED_HOMES)
            return dict.fromkeys(self.cached_draw(bucket, request.prefix_key, r) for r in rounds)
        homes: dict[Replica, None] = {}
        for round_number in range(home_count + MAX_FURTHER_DRAWS):  # some rounds draw the same home again
            if len(homes) == home_count:
                break
            homes[self.cached_draw(bucket, request.prefix_key, round_number)] = None
        return homes

    def cached_draw(self, bucket: ReplicaGroup, key: int, round_number: int) -> Replica:
        """Return the draw's winner, which is cached until a change of the list moves keys."""
        cached_rounds = self.draw_cache.get((key, bucket is self.local_zone))
        if cached_rounds is None:
            if len(self.draw_cache) >= MAX_CACHED_KEYS:
                self.draw_cache.clear()
            cached_rounds = self.draw_cache[key, bucket is self.local_zone] = {}
        winner = cached_rounds.get(round_number)
        if winner is None:
            winner = cached_rounds[round_number] = bucket.draw(key, round_number)
        return winner

    def ordered_buckets(self, request: Request) -> tuple[ReplicaGroup, ReplicaGroup]:
        """Return the buckets to draw from: the local zone first, unless it is rejected for this key.

        An overloaded or crowded zone is rejected for a part of the keys. So is the zone of the last attempt
        if that did not reach a server, because the connection between zones may be cut.
        """
        probability = max(self.zone_rejection_probability, self.zone_crowding())
        others_first = hash_to_unit(mix(request.session_key ^ ZONE_SEED), self.zone_salt) < probability
        if request.attempts and request.attempts[-1].end_status in NOT_RECEIVED:
            others_first = request.attempts[-1].replica.entry.zone == self.settings.zone
        if others_first and self.other_zones:
            return self.other_zones, self.local_zone
        return self.local_zone, self.other_zones

    def zone_crowding(self) -> float:
        """Return the part of the keys that leaves the local zone because its replicas are too few.

        Compares this gateway's open attempts there with the fair share in the whole fleet, on the assumption
        that all gateways have as many open.
        """
        if not self.local_zone or not self.other_zones:
            return 0.0
        local = self.local_zone.open_attempts / max(self.local_zone.capacity(self.now), 1e-9)
        fair = (
            self.settings.gateways
            * self.all_zones.open_attempts
            / max(self.all_zones.capacity(self.now), 1e-9)
        )
        bound = max(
            CROWDED_ZONE_MULTIPLE * fair, UNCROWDED_ZONE_ATTEMPTS / max(self.all_zones.mean_weight, 1e-9)
        )
        return min(max(local / bound - 1.0, 0.0), 0.9)

    def accepts(self, request: Request, replica: Replica, kept_share: float) -> bool:
        """Return whether a replica's load lets it take the request; what it has cached counts for it."""
        cached_share = max(request.event.prefix_tokens / max(request.event.prompt_tokens, 1), kept_share)
        aim_s, few_gateways = self.first_token_aim_s(request), self.settings.gateways <= MANY_GATEWAYS
        # One of many gateways learns too late what is usual, so it compares replicas with their zone's mean.
        usual_s = 0.5 * aim_s if few_gateways else self.zone_first_token_s[replica.entry.zone]
        late = 2.0 * (self.expected_first_token_s(replica) - usual_s) / aim_s - cached_share
        # A rejected replica gets few requests and so few reports: its probability has to decay with time.
        age_s = min(max(self.now - replica.load_reported_at, 0.0), 60.0)
        probability = max(
            replica.rejection_probability * math.exp2(-age_s / REJECTION_HALF_LIFE_S) - cached_share,
            self.refusal_probability(replica),
            late,
        )
        return hash_to_unit(mix(request.session_key ^ REJECTION_SEED), replica.salt) >= probability

    def kept_prompt_share(self, request: Request) -> float:
        """Return the part of a prompt that its session's home has cached, if this is not the first turn."""
        event, new_tokens = request.event, self.new_tokens_per_turn[request.request_class.name]
        is_later_turn = event.session and event.prompt_tokens - event.prefix_tokens >= 2.0 * new_tokens
        return 1.0 - new_tokens / event.prompt_tokens if is_later_turn else 0.0

    def crowding(self, replica: Replica, bucket: ReplicaGroup) -> float:
        """Return a replica's open attempts, plus one, as a multiple of the bound on its share of them."""
        share = self.capacity(replica) / max(bucket.capacity(self.now), 1e-9)
        mean = share * (bucket.open_attempts + 1)
        # Two standard deviations; a gateway with a smaller part of the traffic has more variation by chance.
        chance = 2.0 * math.sqrt(mean * max(1.0 - MANY_GATEWAYS / self.settings.gateways, 0.0))
        return (replica.open_attempts + 1) / max(CROWDED_MULTIPLE * mean, mean + chance, UNCROWDED_ATTEMPTS)

    def capacity(self, replica: Replica) -> float:
        """Return a replica's capacity for the draw: 0 if ejected, else the warm share of its weight.

        Speeds are not known, but a slow replica keeps its attempts open for longer.
        """
        return 0.0 if replica.ejected_until > self.now else replica.weight * self.capacity_share(replica)

    def choose_replica(self, request: Request) -> Replica | None:
        """Return the replica for a request's next attempt, or None if no replica may take it."""
        tried = [a.replica for a in request.attempts]
        fallback: Replica | None = None
        for bucket in self.ordered_buckets(request):
            least_crowded: Replica | None = None
            least_crowding, home_share = (
                math.inf,
                self.kept_prompt_share(request) if bucket is self.local_zone else 0.0,
            )
            for rank, replica in self.candidates(request, bucket):
                rank += 0 if bucket is self.local_zone else 1
                if replica in tried or not self.is_permitted(request, replica):
                    continue
                if replica.ejected_until <= self.now and self.is_warm_enough(request, replica, rank):
                    kept_share, home_share = home_share, 0.0  # the first of these is the session's home
                    if self.accepts(request, replica, kept_share):
                        crowding = self.crowding(replica, bucket)
                        excess = crowding - 1.0 - kept_share
                        if (
                            hash_to_unit(mix(request.session_key ^ CROWDING_SEED), replica.salt)
                            >= 2.0 * excess
                        ):
                            return replica
                        if crowding < least_crowding:
                            least_crowded, least_crowding = replica, crowding
                        continue
                if self.is_last_resort(replica) and (
                    fallback is None
                    or self.expected_first_token_s(replica) < self.expected_first_token_s(fallback)
                ):
                    fallback = replica
            # Crowding is not overload: alone it sends no request to another zone.
            if least_crowded is not None:
                return least_crowded
        if fallback is not None:  # all drawn replicas are overloaded; an estimate alone refuses no request
            return fallback
        for allow_ejected in (False, True):  # beyond the draws: any replica that is left, ejected ones last
            for bucket in self.ordered_buckets(request):
                remaining = [
                    r
                    for r in self.last_resorts(request, bucket)
                    if r not in tried and self.is_last_resort(r, allow_ejected)
                ]
                if remaining := [r for r in remaining if self.is_permitted(request, r)]:
                    return longest_straw(remaining, mix(request.prefix_key))
        return None

    def last_resorts(self, request: Request, bucket: ReplicaGroup) -> Sequence[Replica]:
        """Return all replicas of a bucket, or some of many: examining thousands would delay all requests."""
        if len(bucket) <= MAX_SCANNED_REPLICAS:
            return bucket
        first_round = request.home_count + MAX_FURTHER_DRAWS
        return list(
            dict.fromkeys(bucket.draw(request.prefix_key, first_round + n) for n in range(LAST_RESORT_DRAWS))
        )

    def is_last_resort(self, replica: Replica, allow_ejected: bool = False) -> bool:
        """Return whether a replica may take a request that all preferred ones reject.

        One that rejected two requests within 2 s would reject this one as well.
        """
        is_ejected = replica.ejected_until > self.now and not allow_ejected
        return (
            self.capacity_share(replica) >= 1.0
            and self.refusal_probability(replica) <= 0.5
            and not is_ejected
        )

    # Warm-up.

    def capacity_share(self, replica: Replica) -> float:
        """Return the share of its full capacity that a replica has at least, according to the guarantees."""
        guarantees = self.settings.guarantees
        started_at = max(replica.entry.started_at, replica.no_listener_at)
        age_s = self.now - started_at
        if started_at <= 0.0 or age_s >= guarantees.warm_up_s:
            return 1.0
        return guarantees.cold_share + (1.0 - guarantees.cold_share) * max(age_s, 0.0) / guarantees.warm_up_s

    def is_warm_enough(self, request: Request, replica: Replica, rank: int) -> bool:
        """Return whether a replica is warm, or takes this request as a part of its cold share.

        A cold replica takes its share of its keys by session; chosen by request, each turn of a session would
        find another home. In the worst case each rank brings it as much traffic as the first one. The rank is
        limited so that half a share remains before the replica fails from overload.
        """
        warm_share, max_multiple = self.capacity_share(replica), self.settings.guarantees.overload_multiple
        is_spared = request.attempts or rank + 1.5 > max(max_multiple, 1.5)
        # A gateway with few requests so far counts too few homes for a heavy prefix, and each of them would
        # bring its share.
        accepted_share = warm_share / max(
            HOMES_MULTIPLE * request.traffic_share * len(self.local_zone) / request.home_count, 1.0
        )
        return warm_share >= 1.0 or (
            not is_spared
            and hash_to_unit(mix(request.session_key ^ COLD_SEED), replica.salt) < accepted_share
        )

    # Health and load.

    def eject(self, replica: Replica) -> None:
        """Eject a replica for a time that doubles with each failure."""
        pause_s = min(FIRST_EJECTION_S * 2**replica.failure_count, MAX_EJECTION_S)
        replica.failure_count = min(replica.failure_count + 1, MAX_DOUBLINGS)
        replica.ejected_until = self.now + pause_s * self.random.uniform(0.75, 1.25)

    def first_token_aim_s(self, request: Request) -> float:
        """Return the aimed time to the first token, by the request's class and the length of its prompt."""
        return (
            request.request_class.aim_s
            + request.request_class.aim_s_per_1k_tokens * request.event.prompt_tokens / 1000.0
        )

    def refusal_probability(self, replica: Replica) -> float:
        """Return the part of the rejection probability that a replica's own rejections caused.

        It halves with each `REJECTION_HALF_LIFE_S` without a further one.
        """
        return replica.refusal_level * math.exp2(
            -min((self.now - replica.refused_at) / REJECTION_HALF_LIFE_S, 60.0)
        )

    def add_refusal(self, replica: Replica) -> None:
        """Raise the rejection probability of a replica that rejected a request or did not answer a probe."""
        replica.refusal_level, replica.refused_at = (
            min(0.5 + self.refusal_probability(replica), 1.0),
            self.now,
        )

    def expected_first_token_s(self, replica: Replica) -> float:
        """Return the first-token time expected of a replica: by a fresh report, else its zone's mean."""
        if self.now - replica.load_reported_at < 2.0:
            return replica.estimated_first_token_s
        return self.zone_first_token_s[replica.entry.zone]

    def learn_report_scale(self, attempt: Attempt, latency_s: float) -> None:
        """Learn how many seconds until the first token one unit of each reported value stands for."""
        for i, value in enumerate(attempt.report_values):
            self.report_value_sums[i] = self.report_value_sums[i] * 0.98 + value
            self.first_token_sums_s[i] = self.first_token_sums_s[i] * 0.98 + latency_s

    def on_load_report(self, replica: Replica, report: tuple[float, ...], is_sample: bool = True) -> None:
        """Derive a replica's load and expected first-token time from its report.

        The means over the fleet and the zones follow only reports that are unbiased samples.
        """
        if len(report) != len(self.settings.metrics):
            return
        ratios, values = [], []
        for i, (metric, value) in enumerate(zip(self.settings.metrics, report, strict=True)):
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
            if is_sample:
                self.mean_report[i] += (value - self.mean_report[i]) * 0.05
            ratios.append((value + floor) / (self.mean_report[i] + floor))
        if not ratios:
            return
        replica.load, replica.load_reported_at = max(ratios), self.now
        zone = replica.entry.zone
        replica.report_values = tuple(values)
        if not self.report_value_sums:
            self.report_value_sums, self.first_token_sums_s = [1e-9] * len(values), [0.0] * len(values)
        estimates_s = [
            reported * first_token_sum_s / value_sum
            for reported, value_sum, first_token_sum_s in zip(
                values, self.report_value_sums, self.first_token_sums_s, strict=True
            )
        ]
        replica.estimated_first_token_s = sum(estimates_s) / len(estimates_s) if estimates_s else 0.0
        if is_sample:
            self.zone_first_token_s[zone] += (
                replica.estimated_first_token_s - self.zone_first_token_s[zone]
            ) * 0.15
            self.zone_load[zone] += (min(replica.load, 4.0) - self.zone_load[zone]) * 0.15
        replica.rejection_probability = replica.load / max(self.zone_load[zone], 1.0) - 1.0
        self.update_zone_rejection()

    def update_zone_rejection(self) -> None:
        """Raise the local zone's rejection while it is overloaded and others are not; else let it decay."""
        elapsed_s, self.zone_rejection_updated_at = (
            min(self.now - self.zone_rejection_updated_at, 2.0),
            self.now,
        )
        other_loads = [load for zone, load in self.zone_load.items() if zone != self.settings.zone]
        if not other_loads:
            return
        excess = self.zone_load[self.settings.zone] / (sum(other_loads) / len(other_loads)) - 1.1
        # The few late answers of a lightly loaded day must not move requests to other zones.
        lateness = min(max((self.late_fraction - 0.1) / 0.2, 0.0), 1.0)
        slope = excess * 0.4 * lateness if excess > 0 else excess * 0.4
        self.zone_rejection_probability = min(
            max(
                self.zone_rejection_probability
                + elapsed_s * (slope - 0.02 * self.zone_rejection_probability),
                0.0,
            ),
            0.9,
        )

    def on_probe_ended(self, event: ProbeEnded) -> None:
        replica = self.replicas.get(event.replica)
        if replica is None:
            return
        if event.status in (Status.OK, Status.FULL):
            replica.probe_answered_at = self.now
        if event.status is Status.OK:
            self.on_load_report(replica, event.report, replica.probed_as_sample)
        elif event.status is not Status.NOT_SENT:  # a probe that was not sent says nothing about the replica
            replica.no_listener_at = (
                self.now if event.status is Status.NO_LISTENER else replica.no_listener_at
            )
            self.add_refusal(replica)
        # Only the waiting requests: a loop over all open ones would use up the CPU under heavy overload.
        for request in list(self.awaiting_probe.values()):
            if request.awaited_replica is replica:
                del self.awaiting_probe[request.event.request]
                request.awaited_replica = None
                self.place(request)

    # The life cycle of a request.

    def on_request_arrived(self, event: RequestArrived) -> None:
        request_class = self.classes.get(event.request_class)
        if request_class is None or event.request in self.requests:
            return
        request = Request(event, request_class, *self.count_homes(event))
        self.requests[event.request] = request
        self.sample_load()
        if self.settings.limits.probes:
            max_wait_s = min(0.1 * request_class.aim_s, 0.5 * (event.expires_at - self.now))
            request.probe_wait_until = self.now + max_wait_s
            self.actions.append(SetTimer(max(max_wait_s, 0.001), f"place:{event.request}"))
        self.place(request)

    def count_homes(self, event: RequestArrived) -> tuple[int, float]:
        """Return how many homes a request's prefix needs, and its share of this gateway's recent requests."""
        if not event.shared_prefix:
            return 1, 0.0
        self.prefixed_count = self.prefixed_count * 0.995 + 1.0
        if self.random.random() < 0.02:
            self.prefix_counts = {
                prefix: decayed
                for prefix, decayed in (
                    (prefix, count * 0.995**50) for prefix, count in self.prefix_counts.items()
                )
                if decayed > 0.1
            }
        prefix_count = self.prefix_counts[event.shared_prefix] = (
            self.prefix_counts.get(event.shared_prefix, 0.0) + 1.0
        )
        home_count = math.ceil(
            HOMES_MULTIPLE * prefix_count / (self.prefixed_count + 5.0) * len(self.local_zone) - 0.5
        )
        return max(1, home_count), prefix_count / self.prefixed_count

    def sample_load(self) -> None:
        """Probe a random replica of the fleet for some requests, if probes are allowed and within budget."""
        price, probability = self.settings.prices.probe, MANY_GATEWAYS / self.settings.gateways
        # With late answers the local zone may be more loaded than others, which rare samples would not show.
        if self.late_fraction > 0.1:
            probability = 1.0
        if self.settings.limits.probes and self.all_zones:
            self.probe_credit = min(self.probe_credit + min(3.0, 0.005 / max(price, 1e-6)), 6.0)
            sampled = self.random.choice(self.all_zones)
            if (
                self.random.random() < probability
                and max(sampled.load_reported_at + 0.1, sampled.ejected_until) <= self.now
            ):
                self.ensure_probe(sampled, True)

    def ensure_probe(self, replica: Replica, as_sample: bool) -> bool:
        """Probe a replica unless it was just probed; return False if the probe credit is used up."""
        if self.now - replica.probed_at > 0.1:
            if self.probe_credit < 1.0:
                return False
            self.probe_credit -= 1.0
            replica.probed_at, replica.probed_as_sample = (
                self.now,
                as_sample or self.settings.gateways > MANY_GATEWAYS,
            )
            self.actions.append(Probe(replica.entry.replica))
        return True

    def hold_for_probe(self, request: Request, replica: Replica) -> bool:
        """Hold a request until a probe of the replica ends; return False if it cannot or need not wait."""
        is_load_fresh = self.now - replica.load_reported_at < 0.1
        if request.probe_wait_until <= self.now or is_load_fresh or replica in request.probed_replicas:
            return False
        if not self.ensure_probe(replica, False):
            return False
        request.probed_replicas.append(replica)
        request.awaited_replica = replica
        self.awaiting_probe[request.event.request] = request
        return True

    def is_permitted(self, request: Request, replica: Replica) -> bool:
        """Return whether an attempt at the replica is allowed: a request must take effect at most once."""
        effect = request.request_class.effect
        if effect is Effect.SAFE:
            return True
        for attempt in request.attempts:
            if not attempt.may_have_run():
                continue
            if effect is Effect.UNSAFE or self.now - attempt.sent_at > request.request_class.dedup_window_s:
                return False
            entry, earlier = replica.entry, attempt.replica.entry
            scope = request.request_class.dedup_scope
            if scope is not DedupScope.ALL and entry.zone != earlier.zone:
                return False
            if scope is DedupScope.CELL and entry.cell != earlier.cell:
                return False
        return True

    def has_attempts_left(self, request: Request) -> bool:
        """Return whether the limits on all attempts and on those that servers received allow another one."""
        received = sum(a.end_status not in NOT_RECEIVED for a in request.attempts)
        return len(request.attempts) < self.settings.limits.max_attempts and received < MAX_RECEIVED_ATTEMPTS

    def place(self, request: Request) -> bool:
        """Start the next attempt or, if none can start and none is open, end the request."""
        left_s = request.event.expires_at - self.now
        if left_s > 0 and self.has_attempts_left(request):
            replica = self.choose_replica(request)
            if replica is not None:
                if not self.hold_for_probe(request, replica):
                    self.start_attempt(request, replica, left_s)
                return True
        if not request.has_open_attempt():
            self.refuse_or_fail(request)
        return False

    def start_attempt(self, request: Request, replica: Replica, left_s: float) -> None:
        """Start an attempt that may take `left_s` seconds, and a timer for a late first token."""
        request.attempts.append(Attempt(replica, self.now))
        replica.open_attempts += 1
        self.actions.append(StartAttempt(request.event.request, replica.entry.replica, left_s))
        late_after_s = max(
            self.first_token_p95_s[request.request_class.name],
            0.5 * self.first_token_aim_s(request),
            3.0 * self.expected_first_token_s(replica),
        )
        if request.request_class.streamed and late_after_s < left_s:
            self.actions.append(
                SetTimer(late_after_s, f"late:{request.event.request}:{len(request.attempts) - 1}")
            )

    def refuse_or_fail(self, request: Request) -> None:
        """Refuse a request if trying again is harmless, else fail it."""
        is_refusable = request.request_class.effect is Effect.SAFE or not any(
            a.may_have_run() for a in request.attempts
        )
        if (
            request.request_class.effect is Effect.KEYED
            and request.request_class.dedup_scope is DedupScope.ALL
        ):
            is_refusable = True
        name = request.event.request
        self.actions.append(
            RefuseRequest(name, self.retry_advice_s(request)) if is_refusable else FailRequest(name)
        )
        self.finish(request)

    def retry_advice_s(self, request: Request) -> float:
        """Return how long the client should wait, so that rejection probabilities fall in the meantime.

        The wait is random around half of their half-life: requests refused together do not return together.
        """
        limits = self.settings.limits
        pause_s = min(REJECTION_HALF_LIFE_S * self.random.uniform(0.25, 0.75), limits.max_retry_after_s)
        left_s = request.event.expires_at - self.now
        return 0.0 if not limits.retry_advice else min(pause_s, 0.5 * left_s) if left_s > 0 else pause_s

    def finish(self, request: Request) -> None:
        """Mark a request as answered, and drop its record unless an attempt is still open."""
        request.finished = True
        self.awaiting_probe.pop(request.event.request, None)
        if not request.has_open_attempt():
            del self.requests[request.event.request]

    def on_first_token(self, event: FirstToken) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        attempt.has_started = True
        self.move_credit = min(self.move_credit + 0.1, MAX_MOVE_CREDIT)
        attempt.replica.first_token_at = self.now
        attempt.replica.latest_started_attempt = max(
            attempt.replica.latest_started_attempt, (attempt.sent_at, event.latency_s)
        )
        attempt.replica.failure_count = max(attempt.replica.failure_count - 1, 0)
        self.update_first_token_p95(request.request_class, self.now - attempt.sent_at)
        self.learn_report_scale(attempt, event.latency_s)
        if attempt.replica.entry.zone == self.settings.zone:
            self.late_fraction += (
                (event.latency_s > self.first_token_aim_s(request) / 2) - self.late_fraction
            ) * 0.05

    def update_first_token_p95(self, request_class: RequestClass, latency_s: float) -> None:
        """Follow the 95th percentile of a class's first-token times by stochastic approximation."""
        estimate_s = self.first_token_p95_s[request_class.name]
        self.first_token_p95_s[request_class.name] = estimate_s * (
            1.0 + (0.19 if latency_s > estimate_s else -0.01)
        )

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.end_status is not None:
            return
        attempt.end_status = event.status
        replica = attempt.replica
        replica.open_attempts -= 1
        if event.status is Status.OK:
            replica.failure_count = max(replica.failure_count - 1, 0)
        replica.no_listener_at = self.now if event.status is Status.NO_LISTENER else replica.no_listener_at
        if event.status in FAILURE_STATUSES:
            self.eject(replica)
        elif event.status is Status.FULL:
            self.add_refusal(replica)
        if event.report:
            self.on_load_report(replica, event.report)
        if request.event.prefix_tokens < event.cached_tokens < request.event.prompt_tokens:
            new_tokens, mean_tokens = (
                request.event.prompt_tokens - event.cached_tokens,
                self.new_tokens_per_turn[request.request_class.name],
            )
            self.new_tokens_per_turn[request.request_class.name] = (
                mean_tokens + (new_tokens - mean_tokens) * 0.05 if mean_tokens < math.inf else new_tokens
            )
        if event.final or request.finished:
            self.finish(request)
        elif not request.has_open_attempt() and request.awaited_replica is None:
            self.place(request)

    def on_client_gone(self, event: ClientGone) -> None:
        request = self.requests.get(event.request)
        if request is not None and not request.finished:
            if (
                self.settings.limits.cancel
                and request.has_open_attempt()
                and not request.attempts[-1].has_started
            ):
                self.actions.append(CancelAttempt(request.event.request, len(request.attempts) - 1))
            self.finish(request)

    def on_timer_fired(self, token: str) -> None:
        kind, _, rest = token.partition(":")
        if kind == "ask":
            if not self.is_subscribed:
                self.is_subscribed = True
                self.actions.append(Subscribe())
            return
        name, _, number = rest.partition(":")
        request = self.requests.get(name)
        if request is None or request.finished:
            return
        if kind == "place" and request.awaited_replica is not None:
            self.add_refusal(request.awaited_replica)  # its probe waits as a request would
            self.awaiting_probe.pop(name, None)
            # The end of the wait is cleared as well: the request must not wait for a second probe.
            request.awaited_replica, request.probe_wait_until = None, -math.inf
            self.place(request)
        elif kind == "late" and number.isdigit() and not any(a.has_started for a in request.attempts):
            self.on_late_attempt(request, int(number))

    def on_late_attempt(self, request: Request, number: int) -> None:
        """Move a late attempt to another replica if its own does not answer or the answer seems lost."""
        attempt = request.attempts[number]
        replica, limits, waited_s = attempt.replica, self.settings.limits, self.now - attempt.sent_at
        if attempt.end_status is not None or len(request.attempts) != number + 1:
            return
        is_movable = (
            limits.cancel and request.request_class.effect is Effect.SAFE and self.has_attempts_left(request)
        )
        self.actions.append(
            SetTimer(0.3 * request.request_class.aim_s, f"late:{request.event.request}:{number}")
        )
        if limits.probes and replica.probed_at <= max(attempt.sent_at, self.now - 1.0):
            # With little traffic, a lack of first tokens alone does not prove that the replica hangs.
            self.ensure_probe(replica, False)
            return
        answered_at = max(replica.first_token_at, replica.load_reported_at, replica.probe_answered_at)
        if answered_at >= (replica.probed_at if limits.probes else attempt.sent_at):
            later_sent_at, later_first_token_s = replica.latest_started_attempt
            is_stuck = (
                later_sent_at > attempt.sent_at + OVERTAKING_LAG_S and waited_s > 3.0 * later_first_token_s
            )
            is_lost = waited_s > 3.0 * max(
                self.expected_first_token_s(replica), self.first_token_p95_s[request.request_class.name]
            )
            if limits.probes and is_movable and is_lost and self.move_credit >= 1.0:
                is_stuck, self.move_credit = True, self.move_credit - 1.0
        elif limits.probes and self.now - replica.probed_at < MAX_PROBE_S:
            return
        else:
            # When half of the zone fails at once, the cause is common to all and not this replica.
            if 2 * self.local_zone.ejected_count(self.now) < len(self.local_zone):
                self.eject(replica)
            is_stuck = limits.probes
        if is_stuck and is_movable:
            self.actions.append(CancelAttempt(request.event.request, number))  # its end starts the next one

    # Discovery.

    def on_replica_list(self, event: ReplicaList) -> None:
        if event.kind is ListKind.LOST:
            self.is_subscribed = False
            self.subscription_losses = min(self.subscription_losses + 1, MAX_DOUBLINGS)
            self.schedule_subscription(min(0.05 * 2**self.subscription_losses, 0.4))
            return
        if event.kind is ListKind.CACHED:
            if self.settings.must_ask_for_list:
                self.schedule_subscription(0.3)
        elif self.is_subscribed:
            self.subscription_losses = 0
        if event.kind is not ListKind.DELTA:
            listed = {entry.replica for entry in event.entries}
            for number in [number for number in self.replicas if number not in listed]:
                self.set_groups(self.replicas.pop(number), ())
        for entry in event.entries:
            self.on_replica_entry(entry)

    def on_replica_entry(self, entry: ReplicaEntry) -> None:
        known = self.replicas.get(entry.replica)
        if entry.state is ReplicaState.GONE:
            if known is not None:
                self.set_groups(self.replicas.pop(entry.replica), ())
            return
        # A list may name a zone that the settings don't have: without these entries lookups would fail.
        self.zone_load.setdefault(entry.zone, 1.0)
        self.zone_first_token_s.setdefault(entry.zone, 0.0)
        if known is None:
            known = self.replicas[entry.replica] = Replica(entry)
        elif entry.started_at > known.entry.started_at:
            known.reset_learned()
        if known.weight != max(entry.weight, 0.0):
            self.draw_cache.clear()
        known.entry, known.weight = entry, entry.weight
        zone_group = self.local_zone if entry.zone == self.settings.zone else self.other_zones
        self.set_groups(known, (self.all_zones, zone_group) if entry.state is ReplicaState.READY else ())

    def set_groups(self, replica: Replica, groups: tuple[ReplicaGroup, ...]) -> None:
        """Make a replica a member of exactly these groups; a change clears the cached draws."""
        if replica.groups == groups:
            return
        for group in (self.all_zones, self.local_zone, self.other_zones):
            if replica in group and group not in groups:
                group.discard(replica)
        for group in groups:
            if replica not in group:
                group.add(replica)
        self.draw_cache.clear()

    # The state and the open attempts of the peer process, during a takeover.

    def snapshot(self) -> dict[str, Any]:
        """Return what this gateway has learned, in JSON values, for a process with the same settings."""
        replicas = {
            str(number): [
                replica.entry.started_at,
                *(max(getattr(replica, name), 0.0) for name in REPLICA_SNAPSHOT_ATTRIBUTES),
            ]
            for number, replica in self.replicas.items()
        }
        return {
            "of": self.snapshot_scope(),
            "replicas": replicas,
            **{key: getattr(self, attribute) for key, attribute in SNAPSHOT_ATTRIBUTES.items()},
        }

    def snapshot_scope(self) -> list[list[str]]:
        """Return the settings that have to be equal for a snapshot to be of use."""
        settings = self.settings
        return [[m.name for m in settings.metrics], [c.name for c in settings.classes], list(settings.zones)]

    def on_peer_process_snapshot(self, snapshot: dict[str, Any]) -> None:
        """Adopt the peer process's snapshot; leave out replicas that are not listed or have restarted."""
        if snapshot.get("of") != self.snapshot_scope():
            return
        for key, attribute in SNAPSHOT_ATTRIBUTES.items():
            own, received = getattr(self, attribute), snapshot[key]
            setattr(self, attribute, own | received if isinstance(own, dict) else received)
        for number, (started_at, *values) in snapshot["replicas"].items():
            replica = self.replicas.get(int(number))
            if replica is not None and replica.entry.started_at == started_at:
                for name, value in zip(REPLICA_SNAPSHOT_ATTRIBUTES, values, strict=True):
                    setattr(replica, name, value)

    def on_peer_process_attempts(self, counts: dict[int, int]) -> None:
        """Count the open attempts of the peer process like those of this one."""
        for number, replica in self.replicas.items():
            count = counts.get(number, 0)
            replica.open_attempts, replica.peer_process_attempts = (
                replica.open_attempts + count - replica.peer_process_attempts,
                count,
            )

    def schedule_subscription(self, share: float) -> None:
        """Set a timer for the subscription, within a share of the list's maximal age.

        The delay is random, so that gateways do not subscribe in step after a common loss or start.
        """
        max_delay_s = share * self.settings.guarantees.list_max_age_s
        self.actions.append(SetTimer(max(self.random.uniform(0.2, 1.0) * max_delay_s, 0.001), "ask"))

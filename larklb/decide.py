"""The decisions of a gateway: which requests are admitted, where they are sent, and what peers are told.

Settings, events and actions are declared in ``interface.py``, peer messages in ``peerwire.py``.  A gateway is
called a limiter elsewhere.

The usual path of a request: a consistent-hash ring assigns its customer to an owner among the gateways.  The
owner decides by the customer's token bucket, open grants and reservations.  A gateway that is not the owner
asks it and holds the request until the reply arrives.  It refuses at once where the owner is expected to, and
decides by itself where the owner cannot be asked or does not reply (``Fallback``).  An admitted request goes
to the candidate with the lowest expected latency, or waits until a server has room.  One over its quota is
still sent if the plan earns by it and servers are idle.  The rest of this module handles failures.
"""

from __future__ import annotations

import itertools
import math
import random
from collections import defaultdict
from collections.abc import Callable

from larklb import decision_constants as const
from larklb import interface as io
from larklb import peerwire as pw
from larklb.fleet.leases import URGENT_RENEW_MS, FleetLimits, LeaseReply, LeaseRequest
from larklb.fleet.members import Members
from larklb.fleet.outbox import Outbox
from larklb.fleet.pace import INBOX_FRACTION, PeerPacer
from larklb.fleet.verdicts import GOSSIP_INTERVAL_MS, LIMITER, ZONE, Finding, Verdicts
from larklb.fleet.zones import REEVALUATION_MS
from larklb.health import ALL_WORK, MAX_SLOWNESS, Attempt, Server
from larklb.peer_messaging import PeerMessaging
from larklb.quota.breaker import CircuitBreaker
from larklb.quota.bucket import TokenBucket
from larklb.quota.entitlements import Entitlements
from larklb.quota.fallback import REPORT_MS, WARMUP_MS, Fallback
from larklb.quota.ring import digest, members, ring_owner
from larklb.quota_owner import QuotaOwner
from larklb.records import PendingRequest, QuotaLease
from larklb.server_selection import ServerSelection
from larklb.servers import EWMA_WEIGHT, MEDIAN_CACHE_AIMS, Servers


class Gateway(PeerMessaging, QuotaOwner, ServerSelection):
    """The decisions of one gateway: ``handle(now, event)`` returns the actions to carry out.

    It does no input or output and reads no clock; all times are in ms.  ``actions`` holds those of the
    current event, also when handling it raised an exception.
    """

    def __init__(self, settings: io.Settings, seed: int, now: float, entitlements: Entitlements | None = None,
                 limits: FleetLimits | None = None) -> None:
        self.entitlements = entitlements or Entitlements(settings.plans)
        # Decides on quotas whose owner cannot be asked.
        self.fallback = Fallback(settings, self.entitlements, now)
        self.random = random.Random(seed)
        self.verdicts = Verdicts(settings.number, settings.gateways, const.judgement_half_life(settings))
        self.server_pool = Servers(settings, self.random, self.verdicts)
        self.zones = self.server_pool.zones
        # Usual latency (ms) and topic of judgements by class, including classes that the settings lost since.
        self.usual_latency: dict[str, float] = {}
        self.topics: dict[str, int] = {}
        self._take_settings(settings)
        # Cache of owners by customer key, first limiter and spread.
        self.owners: dict[tuple[int, int, int], int] = {}
        # Buckets that this gateway owns, with the index of the plan that requests name.
        self.buckets: dict[int, tuple[int, TokenBucket]] = {}
        # Leases on owned buckets, by sender and ask number.
        self.leases: dict[tuple[int, int], QuotaLease] = {}
        self.breakers: defaultdict[int, CircuitBreaker] = defaultdict(CircuitBreaker)
        self.pending: dict[str, PendingRequest] = {}
        # Requests by ask number whose reply may still arrive, even too late.
        self.unanswered_asks: dict[int, PendingRequest] = {}
        # Admitted requests for which no server has room.
        self.waiting: list[PendingRequest] = []
        self.next_queue_check_at = -math.inf
        self.servers = self.server_pool.by_name
        self.report_interval = REPORT_MS
        self.server_limit = const.INITIAL_SERVER_LIMIT
        # Whether a timer is set that re-evaluates the zones.
        self.zone_timer_set = False
        # When a request last had to wait for room.
        self.last_queued_at = -math.inf
        self.timers: dict[int, Callable[[float], object]] = {}
        self.timer_ids = itertools.count(1)
        self.ask_numbers = itertools.count(self.random.randrange(1 << 31))
        self.pace = PeerPacer(settings.inbox_per_s, settings.tick, self.min_aim)
        self.members = Members(settings.number, settings.gateways, self.fallback.last_heard_at, self.verdicts)
        self.outbox = Outbox(settings.number, self.min_aim, self.pace, self.fallback, self.verdicts)
        self.limits = limits or FleetLimits(settings.number, settings.gateways, now, self.max_deadline)
        self.actions: list[io.Action] = []

    def start(self, now: float) -> list[io.Action]:
        """Returns the first actions; must be called once, before the first event."""
        self.actions = [io.Subscribe()] if self.settings.must_ask_list else []
        self._set_timer(self.max_deadline / 2, self._expire)
        if self.settings.can_tell and self.settings.gateways > 1:
            self._set_timer(GOSSIP_INTERVAL_MS, self._spread_findings)
        if self.limits.node_attempts:
            self._set_timer(URGENT_RENEW_MS, self._renew_slots)
        if self.fallback.enabled:
            # Unsolicited messages must leave most of an inbox to those that a request waits for.
            self.report_interval = max(
                REPORT_MS, const.MIN_REPORT_INTERVAL_MESSAGES * 1000.0
                / max(1e-3, self.settings.inbox_per_s * INBOX_FRACTION))
            self._set_timer(REPORT_MS, self._report_to_owners)
            self._announce_start(now)
        return self.actions

    def _take_settings(self, settings: io.Settings) -> None:
        self.settings = self.fallback.settings = self.server_pool.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: (i, p) for i, p in enumerate(settings.plans)}
        # A class keeps its topic, here and at peers, until a restart.
        for c in settings.classes:
            self.usual_latency.setdefault(c.name, c.aim * const.INITIAL_LATENCY_AIMS)
            self.topics.setdefault(c.name, 1 + len(self.topics))
        self.min_aim = min(c.aim for c in settings.classes)
        self.max_deadline = max(c.deadline for c in settings.classes)
        self.half_life = const.judgement_half_life(settings)

    def apply_settings(self, now: float, settings: io.Settings) -> None:
        """Replaces the settings.

        Number, gateways and tick must be the same, and plans must keep their indices.  Pending requests keep
        their class; a lower limit of attempts applies to them at once.
        """
        self._take_settings(settings)
        self.limits.extend_deadline(self.max_deadline)
        for key, (named_plan, bucket) in self.buckets.items():
            self.entitlements.update_bucket(now, key, named_plan, bucket)

    def handle(self, now: float, event: io.Event) -> list[io.Action]:
        """Handles one event and returns the actions to carry out, in order.

        Raises ``ValueError`` for a request whose class or plan is not in the settings.
        """
        self.actions = []
        match event:
            case io.Request():
                self._on_request(now, event)
            case io.Outcome():
                self._on_outcome(now, event)
            case io.Timer():
                self.timers.pop(event.timer_id, bool)(now)
            case io.PeerMessage():
                self._on_peer_message(now, event)
            case io.ServerList():
                self._on_server_list(now, event)
            case io.ClientGone() if event.request in self.pending:
                self._on_client_gone(now, self.pending[event.request])
            case io.StreamStarted() if event.request in self.pending:
                self._on_stream_started(now, self.pending[event.request])
            case io.BodyConsumed() if event.request in self.pending:
                self.pending[event.request].not_repeatable = True
        for peer in self.outbox.due(now):
            self._flush_messages(now, peer)
        return self.actions

    def ping_peers(self, now: float) -> list[io.Action]:
        """Sends each peer a message that it answers, to find out which peers are reachable."""
        self.actions = []
        for peer in range(self.settings.gateways if self.settings.can_tell else 0):
            if peer != self.settings.number:
                self.outbox.probe(now, peer, self.server_pool.own_in_flight())
                self._flush_messages(now, peer)
        return self.actions

    def zones_changed(self, now: float) -> list[io.Action]:
        """Follows an operator's order that changed the state of a zone."""
        self.actions = []
        self._on_zones_changed(now)
        # An order expires with time alone.
        if not self.zone_timer_set:
            self._zone_timer(now)
        return self.actions

    def _expire(self, now: float) -> None:
        """Removes expired state of all kinds, so that memory is bounded by recent traffic.

        Buckets that stay are updated to the plans and shares in effect, and the units of expired leases stay
        taken.  The cache of owners is emptied.
        """
        # Set first, so that an exception below does not end the cycle.
        self._set_timer(self.max_deadline / 4, self._expire)
        for key, (named_plan, bucket) in list(self.buckets.items()):
            self.entitlements.update_bucket(now, key, named_plan, bucket)
            self.fallback.apply_share(now, key, bucket)
            if (bucket.open <= 0 and now - bucket.at > self.max_deadline and bucket.part == 1.0
                    and bucket.fill(now) >= bucket.burst):
                del self.buckets[key]
        self.fallback.expire(now, self.max_deadline)
        self.outbox.clean(now, self.max_deadline)
        for lease_id, lease in list(self.leases.items()):
            if now >= lease.until:
                self._end_lease(now, lease_id, 0.0)
                del self.leases[lease_id]
        self.verdicts.clean(now)
        for short_id in self.server_pool.clean(now, self.verdicts.current):
            self.verdicts.forget(short_id)
        self.pace.clean(now)
        self.limits.clean(now)
        self.unanswered_asks = {
            number: request for number, request in self.unanswered_asks.items() if now < request.due}
        self.owners.clear()

    # Requests and quotas --------------------------------------------------------------------

    def _on_request(self, now: float, event: io.Request) -> None:
        """Records a request and decides on its quota.

        It finds the plan in effect and the owner, and sets a timer for the last time to start an attempt.
        The first of these then applies: no server may repeat what earlier attempts may have run (turned
        down); an earlier try was charged, or the plan has no quota (sent); this gateway is the owner (decided
        here); the owner is expected to refuse (over quota); it cannot be asked (decided without it); it is
        asked.
        """
        if event.service not in self.classes or event.plan not in self.plans:
            raise ValueError(
                f"request: service {event.service!r} or plan {event.plan!r} is not in the settings")
        named_plan, spread = self.plans[event.plan][0], max(1, min(event.spread, self.settings.gateways))
        key = digest(event.customer)
        plan_index, plan, version = self.entitlements.effective_plan(now, key, named_plan)
        ring = (key, event.first, spread)
        if ring not in self.owners:
            self.owners[ring] = ring_owner(key, members(event.first, spread, self.settings.gateways))
        request = PendingRequest(
            event.request, self.classes[event.service], plan, plan_index, key, event.units, event.due, now,
            self.owners[ring], spread, named_plan, version, event.quota_only)
        for earlier in event.earlier_attempts:
            server = Server(io.Entry("", earlier.zone, earlier.cell), self.settings.number, self.half_life)
            request.earlier_attempts.append(Attempt(server, now - earlier.age, False))
        self.pending[event.request] = request
        self.fallback.record_request(now, request)
        last_start = min(
            (a.sent_at + request.service_class.window - self.settings.tick for a in request.earlier_attempts),
            default=event.due - 2 * self.settings.tick)
        self._set_timer(min(last_start, event.due - 2 * self.settings.tick) - now,
                        lambda t: self._retry_or_answer(t, request))
        if request.earlier_attempts and not any(
                self._may_retry_on(request, request.earlier_attempts, s, now) for s in self.server_pool.up):
            self._turn_down(now, request)
        elif event.charged or not plan.rate and not plan.most_open:
            self._proceed(now, request)
        elif request.owner == self.settings.number:
            self._decide_as_owner(now, request)
        elif (wait := self.fallback.refusal_wait(
                now, request, self.settings.inbox_per_s * INBOX_FRACTION,
                self.usual_latency[request.service_class.name])) is not None:
            self._over_quota(now, request, wait)
        elif (not self.settings.can_tell or self.members.is_silent(now, request.owner)
              or not self.breakers[request.owner].allows(now)):
            self._request_reply(now, request.owner)
            self._decide_without_owner(now, request)
        else:
            self._ask_owner(now, request)

    def _decide_as_owner(self, now: float, request: PendingRequest) -> None:
        lease_id = (self.settings.number, next(self.ask_numbers) & pw.ASK_NUMBER_MASK)
        lease = self._decide_ask(
            now, lease_id, request.customer_key, request.named_plan, request.units, request.due - now)
        if lease.granted:
            request.grant, request.reservation = lease_id, lease.reservation
            self._proceed(now, request)
        else:
            self._over_quota(now, request, self._owned_bucket(
                now, request.customer_key, request.named_plan).wait_for(request.units))

    def _ask_owner(self, now: float, request: PendingRequest) -> None:
        extended = pw.EXTENDED_FLAG if self.entitlements.extended or self.fallback.enabled else 0
        request.pending_ask = number = next(self.ask_numbers) & pw.ASK_NUMBER_MASK | extended
        self.unanswered_asks[number] = request
        ask = pw.Ask(number, request.customer_key, request.named_plan, request.units, request.due - now,
                     self.fallback.tokens_left(now, request))
        if self.entitlements.supports_extended(now, request.owner):
            if self.fallback.enabled:
                ask = ask._replace(demand=self.fallback.shares.average_demand(now, request.customer_key))
            reports: list[pw.Item] = [
                *self.entitlements.unconfirmed_draws(request.customer_key),
                *self.fallback.count_to_report(now, request),
            ]
            for item in reports:
                self._queue_message(request.owner, item)
        self._queue_message(request.owner, ask)
        timeout = min(request.service_class.aim * const.ASK_TIMEOUT_AIMS, (request.due - now) / 3)
        retry_after = self.pace.start_request(now, number, request.owner, timeout)

        def on_no_reply(t: float) -> None:
            if request.pending_ask != number or request.ended:
                return self.pace.drop_request(number)
            if (retry_after := self.pace.next_retry(t, number)) is not None:
                self._queue_message(request.owner, ask)
                self._set_timer(retry_after, on_no_reply)
            else:
                request.pending_ask = None
                # A grant that still arrives is void, because the fallback counts the units anew.
                if self.fallback.enabled:
                    request.grant_released = True
                    self.outbox.piggyback(request.owner, pw.Release(number, request.units))
                self.breakers[request.owner].record_failure(t, self.random.random())
                self.members.record_no_answer(t, request.owner, now)
                self._decide_without_owner(t, request)

        self._set_timer(retry_after, on_no_reply)

    def _decide_without_owner(self, now: float, request: PendingRequest) -> None:
        """Decides by the fallback, because the owner cannot be asked, or else by a reservation."""
        in_flight = sum(other.customer_key == request.customer_key and other.has_attempt_in_flight()
                        for other in self.pending.values()) if request.plan.most_open else 0
        admitted, wait = self.fallback.decide(now, request, in_flight, self.breakers[request.owner].failures)
        if admitted:
            self.fallback.record_admitted(now, request)
        elif (drawn := self.entitlements.draw_without_owner(
                now, request.customer_key, request.units, self.settings.number)) is not None:
            admitted, request.reservation = True, drawn.tag
            self.actions.append(drawn)
        if admitted:
            self._proceed(now, request)
        else:
            self._over_quota(now, request, max(0.0, wait))

    def _report_to_owners(self, now: float) -> None:
        """Periodically asks quiet peers for a message, and reports unconfirmed counts to their owners."""
        self._set_timer(REPORT_MS, self._report_to_owners)
        self.fallback.can_detect_silence = (
            self.pace.fair_interval(self.server_pool.active_peers(now)) <= REPORT_MS / 2)
        for peer in self.fallback.quiet_peers(now):
            self._request_reply(now, peer)
        for peer in self.fallback.owners_to_report_to(now, self.report_interval):
            self._queue_wakeup(peer)

    def _over_quota(self, now: float, request: PendingRequest, wait: float) -> None:
        """The quota refuses the request: it is sent only if the plan earns by it and servers are idle."""
        plan, load = request.plan, (sum(s.in_flight() for s in self.server_pool.busy_in_open_zones())
                                    / self.server_pool.visible_share(now))
        idle = (load < len(self.server_pool.available) * self.server_limit * const.IDLE_LOAD_SHARE
                and now - self.last_queued_at > self.min_aim)
        earns = plan.beyond_earns > plan.excess_cost and not plan.ceiling_rate and not plan.most_open
        server = self._choose_server(now, request) if idle and earns and not request.quota_only else None
        if server is None:
            return self._turn_down(now, request, wait)
        request.beyond_quota = request.admitted = True
        self._send_attempt(now, request, server)

    # Messages to peers ----------------------------------------------------------------------

    def _renew_slots(self, now: float) -> None:
        """Periodically asks for slots at servers and renews those held."""
        self._set_timer(URGENT_RENEW_MS, self._renew_slots)
        for lender, request in self.limits.due_requests(now, self.server_pool.own_attempts_at):
            if lender != self.settings.number:
                self._queue_message(lender, request)
            elif (reply := self.limits.lender.handle_request(
                    now, lender, request, self.limits.pool())) is not None:
                self._on_lease_reply(now, reply)

    def _on_lease_reply(self, now: float, reply: LeaseReply) -> None:
        self.limits.receive_reply(now, reply)
        if self.waiting and reply.slots:
            self._drain_queue(now)

    def _on_finding(self, now: float, sender: int, finding: Finding) -> None:
        subject_topic = self.verdicts.receive(now, sender, finding)
        if subject_topic is not None and subject_topic[1] == ZONE:
            self._check_zones(now)
        elif subject_topic is not None and subject_topic[1] != LIMITER:
            self.server_pool.set_fleet_verdict(*subject_topic, self.verdicts.current.get(subject_topic))

    def _check_zones(self, now: float) -> None:
        """Re-evaluates the state of all zones, and goes on periodically while time alone may change it."""
        if self.zones.evaluate(now):
            self._on_zones_changed(now)
        if not self.zone_timer_set:
            self._zone_timer(now)

    def _on_zones_changed(self, now: float) -> None:
        """Applies changes of zones, and moves attempts out of avoided ones where their classes allow it."""
        self.actions += [io.Log(text) for text in self.zones.messages]
        self.zones.messages.clear()
        self.server_pool.zones_changed(now)
        for request in list(self.pending.values()):
            if (request.attempts and request.attempts[-1].in_flight
                    and not self.zones.capacity_fraction(request.attempts[-1].server.entry.zone)):
                self._review_attempt(now, request, len(request.attempts) - 1, again=False)
        self._drain_queue(now)

    def _zone_timer(self, now: float) -> None:
        """Re-evaluates the zones periodically while time alone may change the state of one."""
        self.zone_timer_set = self.zones.needs_timer(now)
        if self.zone_timer_set:
            self._set_timer(REEVALUATION_MS, self._zone_timer)
            self._check_zones(now)

    def _on_peer_message(self, now: float, event: io.PeerMessage) -> None:
        items = pw.unpack(event.data)
        if not items or event.sender == self.settings.number:
            return
        # Any message shows that the peer is reachable and closes its breaker.
        self.breakers.pop(event.sender, None)
        self.fallback.on_message(now, event.sender)
        self.members.record_message(now, event.sender)
        self.server_pool.peer_reported(
            now, event.sender, next((item.pairs for item in items if isinstance(item, pw.Loads)), None))
        self.pace.record_arrival(now, event.sender)
        if all(isinstance(item, pw.Loads) for item in items) or not self.pace.reports_allowance(event.sender):
            # The sender wants to know that this gateway is reachable, or which extensions it supports.
            self._request_reply(now, event.sender)
        for item in items:
            match item:
                case pw.Loads(((pw.INBOX_RATE_ID, allowed), *_)):
                    self.pace.record_allowance(now, event.sender, allowed / pw.STEPS_PER_UNIT)
                case pw.Ask():
                    self._on_ask(now, event.sender, item)
                case pw.AskReply():
                    self._on_ask_reply(now, event.sender, item)
                case pw.Release():
                    self._end_lease(now, (event.sender, item.number), item.returned_units)
                case pw.DrawReport():
                    if (record := self.entitlements.on_remote_draw(event.sender, item)) is not None:
                        self.actions.append(record)
                    self._queue_message(event.sender, pw.DrawConfirmed(item.tag, item.units))
                case pw.DrawConfirmed():
                    self.entitlements.on_draw_confirmed(item)
                case pw.Count() if item.plan < len(self.settings.plans):
                    bucket = self._owned_bucket(now, item.key, item.plan)
                    if (confirmed := self.fallback.on_count(now, event.sender, item, bucket)) is not None:
                        self._queue_message(event.sender, confirmed)
                case pw.Confirmed():
                    self.fallback.settlement.on_confirmed(now, event.sender, item)
                case pw.CopyRequest():
                    for request in self.limits.report_holdings(
                            now, event.sender, self.server_pool.own_attempts_at):
                        self._queue_message(event.sender, request)
                    if self.fallback.on_peer_started(now, event.sender, item.incarnation):
                        self._queue_wakeup(event.sender)
                case pw.BucketCopy() if (item.plan < len(self.settings.plans)
                                         and self.fallback.is_starting(now)):
                    self.fallback.on_copy(now, self._owned_bucket(now, item.key, item.plan), item.tokens_left)
                case pw.HealthReport():
                    stamp = self.verdicts.stamp(now - item.age)
                    self._on_finding(now, event.sender, Finding(
                        item.server, item.topic, item.slow, item.age, event.sender, stamp))
                case Finding():
                    self._on_finding(now, event.sender, item)
                case LeaseRequest() if self.limits.node_attempts:
                    reply = self.limits.lender.handle_request(now, event.sender, item, self.limits.pool())
                    if reply is not None:
                        self._queue_message(event.sender, reply)
                case LeaseReply():
                    self._on_lease_reply(now, item)

    def _on_ask(self, now: float, sender: int, ask: pw.Ask) -> None:
        if ask.plan >= len(self.settings.plans):
            return
        if ask.demand is not None:
            self.fallback.shares.record_peer_demand(now, ask.customer, sender, ask.demand)
        bucket = self._owned_bucket(now, ask.customer, ask.plan)
        # The asker's bucket copy corrects a new bucket only: it lacks the tokens that were added while
        # messages were on their way, so an older bucket knows more.
        if (ask.tokens_left is not None and now - bucket.born < WARMUP_MS
                and (sender, ask.number) not in self.leases):
            self.fallback.on_copy(now, bucket, ask.tokens_left)
        lease = self._decide_ask(now, (sender, ask.number), ask.customer, ask.plan, ask.units, ask.lease)
        if lease.units <= 0:
            # The ask was given up, and its release arrived first: nobody waits for the reply.
            return
        reply = pw.AskReply(ask.number, lease.granted, bucket.fill(now), bucket.open)
        if self.fallback.enabled and ask.number & pw.EXTENDED_FLAG:
            share, total = self.fallback.shares.share_for(now, ask.customer, sender)
            reply = reply._replace(share=share, total_demand=total)
        if self.entitlements.extended and ask.number & pw.EXTENDED_FLAG:
            reply = reply._replace(plan=lease.judged, version=lease.version,
                                   reservation=lease.reservation,
                                   reserved_units=self.entitlements.reserved_units(now, ask.customer))
        self._queue_message(sender, reply)

    def _on_ask_reply(self, now: float, sender: int, reply: pw.AskReply) -> None:
        """Handles an owner's reply to an ask; one that is unknown, repeated or not from the owner is ignored.

        It updates the round-trip time, the bucket copy and what is known of the owner's plan version.  A late
        reply (the ask was given up, or the request has ended) decides nothing.  Its grant is released or, if
        the request was admitted without the owner and has not ended, kept for it; a grant whose release was
        sent is ignored.  Any other reply admits or refuses the request under the plan that it states.
        """
        if reply.number not in self.unanswered_asks or self.unanswered_asks[reply.number].owner != sender:
            return
        request = self.unanswered_asks.pop(reply.number)
        self.pace.record_answer(now, reply.number)
        late = request.pending_ask != reply.number or request.ended
        self.fallback.on_ask_reply(now, request, reply)
        if reply.share is not None or reply.plan is not None:
            if message := self.entitlements.on_peer_version(now, sender, reply.version):
                self.actions.append(io.Log(message))
        if late:
            if reply.granted and not request.grant_released and (request.ended or not request.admitted):
                # Units already used by a request that the fallback admitted stay taken.
                if request.unused_units() or request.plan.most_open:
                    self._queue_message(sender, pw.Release(reply.number, request.unused_units()))
            elif reply.granted and not request.grant_released:
                request.grant = (sender, reply.number)
            return
        request.pending_ask = None
        # A peer that reports no version decides by the settings.
        request.plan_version, request.reservation = reply.version, reply.reservation
        if reply.plan is not None and reply.plan < len(self.settings.plans):
            request.plan_index, request.plan = reply.plan, self.entitlements.plan(now, reply.plan)
        if reply.granted:
            request.grant = (sender, reply.number)
            self._proceed(now, request)
        else:
            self._over_quota(
                now, request, max(0.0, request.units - reply.tokens_left) / request.plan.rate * 1000.0
                if request.plan.rate else 0.0)

    # Servers and attempts -------------------------------------------------------------------

    def _on_server_list(self, now: float, event: io.ServerList) -> None:
        if event.kind is io.ListKind.LOST:
            return self._set_timer(self.min_aim, lambda t: self.actions.append(io.Subscribe()))
        self.server_pool.apply_list(now, event, self.half_life, self.verdicts.forget)
        self._drain_queue(now)

    def _proceed(self, now: float, request: PendingRequest) -> None:
        """Sends an attempt of a request that is admitted or needs another one, or puts it in the queue."""
        request.admitted = True
        if request.quota_only:
            self.actions.append(io.Grant(request.request_id, request.stamp()))
            return self._finish(now, request)
        server = self._choose_server(now, request)
        if server is not None:
            self._send_attempt(now, request, server)
        elif request.beyond_quota:
            self._turn_down(now, request, self.settings.max_retry_after)
        elif request not in self.waiting:
            self.last_queued_at = now
            self.waiting.append(request)
            last_answer = (request.due if request.service_class.late_worth
                           else request.arrived_at + request.service_class.aim)
            self._set_timer(
                last_answer
                - const.ON_TIME_LATENCY_FACTOR * self.usual_latency[request.service_class.name] - now,
                self._drain_queue)
            self._schedule_queue_check(now)

    def _schedule_queue_check(self, now: float) -> None:
        """Sets a timer for the queue if no attempt from here is in flight, at most once per interval.

        No outcome will drain the queue then, but servers may become eligible with time.
        """
        if self.waiting and now >= self.next_queue_check_at and not self.server_pool.own_in_flight():
            self.next_queue_check_at = now + self.min_aim * MEDIAN_CACHE_AIMS
            self._set_timer(self.min_aim * MEDIAN_CACHE_AIMS, self._drain_queue)

    def _value(self, now: float, request: PendingRequest) -> float:
        """The worth of the request per ms of work if it starts now; ``late_worth`` applies if late."""
        usual = self.usual_latency[request.service_class.name]
        earned_share = (request.service_class.late_worth if now + const.ON_TIME_LATENCY_FACTOR * usual
                        > request.arrived_at + request.service_class.aim else 1.0)
        return request.service_class.worth * request.plan.price * request.units / usual * earned_share

    def _drain_queue(self, now: float) -> None:
        """Sends waiting requests while servers have room, and sheds late ones.

        The most valuable request comes first, the newest among equals.  One without value, or that would be
        answered after it is due, is turned down.  Once a request that may go to any server finds no room, no
        further one is tried.  What is left keeps waiting, and a check of the queue is scheduled if need be.
        """
        queue, full = [request for request in self.waiting if not request.ended], False
        queue.sort(key=lambda request: (-self._value(now, request), -request.arrived_at))
        queue.reverse()
        # The queue is emptied in place, so that an exception loses the request it occurs for and no other.
        self.waiting, still_waiting = queue, []
        while queue:
            request = queue.pop()
            usual = self.usual_latency[request.service_class.name]
            if self._value(now, request) <= 0 or now + usual >= request.due:
                self._turn_down(now, request, self.settings.max_retry_after)
            elif (server := None if full else self._choose_server(now, request)) is not None:
                self._send_attempt(now, request, server)
            else:
                full = full or not request.possibly_run_attempts()
                still_waiting.append(request)
        self.waiting = still_waiting
        self._schedule_queue_check(now)

    def _send_attempt(self, now: float, request: PendingRequest, server: Server) -> None:
        index = len(request.attempts)
        request.attempts.append(Attempt(server, now))
        server.attempts.append(request.attempts[-1])
        self.server_pool.attempt_sent(now, server)
        self.limits.record_attempt(now, server.short_id, len(server.attempts), index == 0)
        no_timeout = (self.settings.can_cancel or self.settings.can_copy
                      or request.service_class.repeat is io.RepeatPolicy.NEVER)
        timeout = 0.0 if no_timeout else max(request.service_class.aim * 2 * const.REVIEW_AFTER_AIMS,
                                             2 * self.usual_latency[request.service_class.name])
        self.actions.append(io.Send(request.request_id, server.entry.server, timeout, request.stamp()))
        if request.service_class.repeat is not io.RepeatPolicy.NEVER:
            self._set_timer(
                request.service_class.aim * const.REVIEW_AFTER_AIMS,
                lambda t: self._review_attempt(t, request, index))

    def _review_attempt(self, now: float, request: PendingRequest, index: int, again: bool = True) -> None:
        """Hedges or cancels the latest attempt if its server looks slow or its zone is avoided.

        This is done while a new attempt can still be on time and the limits on attempts allow one.  With
        ``again`` the review is repeated later if the attempt is left alone.
        """
        attempt = request.attempts[index]
        usual = self.usual_latency[request.service_class.name]
        if (request.ended or request.not_repeatable or not attempt.in_flight
                or not index + 1 == len(request.attempts) < self.settings.max_attempts
                or not self.limits.may_send_further()
                or now + usual > request.arrived_at + request.service_class.aim):
            return
        topics = self._topics(request)
        median = self.server_pool.median_slowness(now, topics, usual, request.service_class.aim)
        slow = attempt.server.slowness(now, usual, topics) >= const.SUSPECT_SLOWNESS * median
        suspect = slow or not self.zones.capacity_fraction(attempt.server.entry.zone)
        server = self._choose_server(now, request) if suspect else None
        if server is not None and server is not attempt.server:
            if self.settings.can_copy:
                self._send_attempt(now, request, server)
            elif self.settings.can_cancel:
                if slow:
                    self._record_judgement(
                        now, attempt.server, MAX_SLOWNESS, ALL_WORK, self.topics[request.service_class.name])
                self.actions.append(io.Cancel(request.request_id, index))
            # While requests are waiting, silence may be due to a long queue and says nothing of the zone.
            if slow and now - self.last_queued_at > self.min_aim:
                self._report_to_zones(now, attempt.server, None)
            return
        if again:
            self._set_timer(
                request.service_class.aim * const.REVIEW_AFTER_AIMS / 2,
                lambda t: self._review_attempt(t, request, index))

    def _on_stream_started(self, now: float, request: PendingRequest) -> None:
        """The answer is being passed on: there is no further attempt, and the servers count as free again."""
        request.ended = True
        for attempt in request.attempts:
            if attempt in attempt.server.attempts:
                attempt.server.attempts.remove(attempt)
                self.server_pool.work_changed(attempt.server)
        self._drain_queue(now)

    def _on_outcome(self, now: float, event: io.Outcome) -> None:
        request = self.pending.get(event.request)
        if (request is None or event.attempt >= len(request.attempts)
                or not request.attempts[event.attempt].in_flight):
            return
        attempt = request.attempts[event.attempt]
        server, usual = attempt.server, self.usual_latency[request.service_class.name]
        attempt.in_flight = False
        attempt.may_have_run = event.result not in io.NEVER_RAN
        if attempt in server.attempts:
            server.attempts.remove(attempt)
            self.server_pool.work_changed(server)
        self._learn_from_outcome(now, request, server, event, usual)
        if event.complete or request.ended:
            self._finish(now, request, event.actual_units)
        elif not request.has_attempt_in_flight():
            self._retry_or_answer(now, request)
        self._drain_queue(now)

    def _learn_from_outcome(
        self, now: float, request: PendingRequest, server: Server, event: io.Outcome, usual: float
    ) -> None:
        """Updates the usual latency, the judgements of the server and its zone, and the limit per server."""
        if event.result is io.Result.OK:
            self._record_judgement(now, server, event.took / usual, ALL_WORK, *self._topics(request))
            server.last_answer_at = now
            self.usual_latency[request.service_class.name] += EWMA_WEIGHT * (event.took - usual)
            if self.waiting and event.took < request.service_class.aim * const.FAST_ANSWER_AIMS:
                self.server_limit += const.SERVER_LIMIT_INCREASE / self.server_pool.visible_share(now)
        elif event.result is io.Result.FULL:
            self._record_judgement(now, server, MAX_SLOWNESS, self._topics(request)[1])
        elif event.server_blameless:
            pass
        elif event.unreadable or event.result is io.Result.RESET:
            # The server is reachable, and any server has such failures now and then.
            self._record_judgement(
                now, server, max(const.RESET_SLOWNESS, event.took / usual), ALL_WORK,
                self.topics[request.service_class.name])
        elif event.result not in (io.Result.NOT_SENT, io.Result.CANCELLED):
            self._record_judgement(
                now, server, MAX_SLOWNESS, ALL_WORK, self.topics[request.service_class.name])
        if event.result is io.Result.FULL or (
            event.result is io.Result.OK and event.took > request.service_class.aim * const.SLOW_ANSWER_AIMS
        ):
            self.server_limit = max(const.MIN_SERVER_LIMIT, self.server_limit * const.SERVER_LIMIT_DECREASE)
        reachable = event.unreadable or event.result in (io.Result.OK, io.Result.FULL)
        if not event.server_blameless and event.result not in (io.Result.NOT_SENT, io.Result.CANCELLED):
            self._report_to_zones(now, server, reachable)

    def _report_to_zones(self, now: float, server: Server, reachable: bool | None) -> None:
        """Reports to the server's zone how an attempt ended; None if it was given up without an answer."""
        zone, short_id = server.entry.zone, server.short_id
        if (self.zones.record_timeout(now, zone, short_id) if reachable is None else
                self.zones.record_outcome(now, zone, short_id, reachable)):
            self._on_zones_changed(now)
        if not reachable and not self.zone_timer_set and self.zones.active:
            self._zone_timer(now)

    def _retry_or_answer(self, now: float, request: PendingRequest) -> None:
        """Starts another attempt where class, time and limits allow it, else turns the request down.

        Does nothing if the request has ended or an attempt is in flight.  The timer for the last start calls
        it too, for a request that still waits for the owner's reply or for room.
        """
        if request.ended or request.has_attempt_in_flight():
            return
        ran, last_start = request.possibly_run_attempts(), (
            request.due if request.service_class.late_worth
            else request.arrived_at + request.service_class.aim)
        if (request.not_repeatable or now >= min(last_start, request.due - 2 * self.settings.tick)
                or len(request.attempts) >= self.settings.max_attempts
                or request.attempts and not self.limits.may_send_further()
                or ran and not any(
                    self._may_retry_on(request, ran, s, now) for s in self.server_pool.available)):
            self._turn_down(now, request)
        else:
            self._proceed(now, request)

    def _turn_down(self, now: float, request: PendingRequest, retry_after: float = 0.0) -> None:
        """Answers with a refusal if the client may safely repeat the request, else with a failure.

        ``retry_after`` is in ms, 0 for no hint.
        """
        safe_to_repeat = (
            request.service_class.repeat is io.RepeatPolicy.SAFE or not request.possibly_run_attempts()
            or (request.service_class.repeat is io.RepeatPolicy.KEYED
                and request.service_class.group is io.DedupScope.ALL))
        wait = retry_after if request.quota_only else min(retry_after, self.settings.max_retry_after)
        over_quota = not request.admitted and now < request.due - 2 * self.settings.tick
        # A request for quota only that got no reply in time was not refused.
        safe_to_repeat = safe_to_repeat and (over_quota or not request.quota_only)
        self.actions.append(io.Refuse(request.request_id, wait, over_quota) if safe_to_repeat
                            else io.Fail(request.request_id))
        self._finish(now, request)

    def _on_client_gone(self, now: float, request: PendingRequest) -> None:
        """Releases a grant that may be on its way, without waiting for a reply that may be lost."""
        if request.pending_ask is not None:
            self._queue_message(request.owner, pw.Release(request.pending_ask, request.units))
        self._finish(now, request)

    def _finish(self, now: float, request: PendingRequest, actual_units: float | None = None) -> None:
        """Ends a request that needs no further answer; ends its lease once no attempt is in flight."""
        request.ended = True
        if request.has_attempt_in_flight():
            return
        self.pending.pop(request.request_id, None)
        if request.grant is None:
            return
        owner, number = request.grant
        returned = request.unused_units()
        returned = request.units - actual_units if self.settings.trued_up and actual_units else returned
        if owner == self.settings.number:
            self._end_lease(now, request.grant, returned)
        elif request.plan.most_open or returned:
            self._queue_message(owner, pw.Release(number, returned))

"""All decisions of the gateway.  Settings, events and actions: interface.py; peer messages: peerwire.py.

Ordinary path of a request: the ring names the customer's owner; the owner's token bucket (and count of open
grants) decides; a gateway that is not the owner asks it and holds the request for the verdict; an admitted
request goes to the server that looks quickest.  Everything else here acts only when that breaks.
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
from larklb.fleet.leases import HASTE_MS, Limits, Share, Want
from larklb.fleet.members import Members
from larklb.fleet.pace import INBOX_SHARE, Pace
from larklb.fleet.verdicts import LIMITER, SPREAD_MS, ZONE, Finding, Verdicts
from larklb.fleet.words import Words
from larklb.fleet.zones import STEADY_MS
from larklb.health import ALL_WORK, MAX_SLOWNESS, Attempt, Server
from larklb.quota.breaker import CircuitBreaker
from larklb.quota.bucket import TokenBucket
from larklb.quota.entitlements import Entitlements
from larklb.quota.fallback import REPORT_MS, WARMUP_MS, Fallback
from larklb.quota.ring import digest, members, ring_owner
from larklb.quota_owner import QuotaOwner
from larklb.records import Lease, PendingRequest
from larklb.server_selection import ServerSelection
from larklb.servers import EWMA_WEIGHT, MEDIAN_CACHE_AIMS, Servers


class Gateway(QuotaOwner, ServerSelection):
    """One gateway: ``handle(now, event)`` returns the actions to carry out."""

    def __init__(self, settings: io.Settings, seed: int, now: float, book: Entitlements | None = None,
                 limits: Limits | None = None) -> None:
        self.entitlements = book or Entitlements(settings.plans)
        # what is decided without the owner
        self.fallback = Fallback(settings, self.entitlements, now)
        self.random = random.Random(seed)
        self.verdicts = Verdicts(settings.number, settings.gateways, const.judgement_half_life(settings))
        self.server_pool = Servers(settings, self.random, self.verdicts)       # of all servers
        self.zones = self.server_pool.zones
        # by class, those that have vanished too
        self.usual_latency: dict[str, float] = {}
        self.topics: dict[str, int] = {}
        self._take_settings(settings)
        self.owners: dict[tuple[int, int, int], int] = {}         # of (customer, first, spread), recent ones
        self.buckets: dict[int, tuple[int, TokenBucket]] = {}     # that this gateway owns
        self.leases: dict[tuple[int, int], Lease] = {}
        self.breakers: defaultdict[int, CircuitBreaker] = defaultdict(CircuitBreaker)
        self.pending: dict[str, PendingRequest] = {}
        # that wait for a verdict, even a late one
        self.unanswered_asks: dict[int, PendingRequest] = {}
        self.waiting: list[PendingRequest] = []                             # admitted, but no server has room
        # when it is looked at next, if nothing else
        self.next_queue_check_at = -math.inf
        self.servers = self.server_pool.by_name
        # between looks at who is to be told again
        self.report_interval = REPORT_MS
        self.server_limit = const.INITIAL_SERVER_LIMIT
        self.zone_timer_set = False                                       # the zones are looked at by a timer
        # when a job last had to wait for room
        self.last_queued_at = -math.inf
        self.timers: dict[int, Callable[[float], object]] = {}
        self.timer_ids = itertools.count(1)
        self.ask_numbers = itertools.count(self.random.randrange(1 << 31))
        self.pace = Pace(settings.inbox_per_s, settings.tick, self.min_aim)      # of words to peers
        self.members = Members(settings.number, settings.gateways, self.fallback.last_heard_at, self.verdicts)
        self.words = Words(settings.number, self.min_aim, self.pace, self.fallback, self.verdicts)
        self.limits = limits or Limits(settings.number, settings.gateways, now, self.max_deadline)
        self.actions: list[io.Action] = []

    def start(self, now: float) -> list[io.Action]:
        """To be called once, before the first event."""
        self.actions = [io.Subscribe()] if self.settings.must_ask_list else []
        self._set_timer(self.max_deadline / 2, self._expire)
        if self.settings.can_tell and self.settings.gateways > 1:
            self._set_timer(SPREAD_MS, self._spread_findings)
        if self.limits.node_attempts:
            self._set_timer(HASTE_MS, self._renew_slots)
        if self.fallback.enabled:
            # Words that nobody asked for leave nearly all of an inbox to those that somebody waits for.
            self.report_interval = max(
                REPORT_MS, const.MIN_REPORT_INTERVAL_MESSAGES * 1000.0
                / max(1e-3, self.settings.inbox_per_s * INBOX_SHARE))
            self._set_timer(REPORT_MS, self._report_to_owners)
            self._announce_start(now)
        return self.actions

    def _take_settings(self, settings: io.Settings) -> None:
        self.settings = self.fallback.settings = self.server_pool.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: (i, p) for i, p in enumerate(settings.plans)}
        for c in settings.classes:                # a class keeps its topic, here and at peers, for good
            self.usual_latency.setdefault(c.name, c.aim * const.INITIAL_LATENCY_AIMS)
            self.topics.setdefault(c.name, 1 + len(self.topics))
        self.min_aim = min(c.aim for c in settings.classes)
        self.max_deadline = max(c.deadline for c in settings.classes)
        self.half_life = const.judgement_half_life(settings)

    def apply_settings(self, now: float, settings: io.Settings) -> None:
        """Other settings count from now on, of the same limiter among as many, the plans in their places.

        A job under way keeps its class; a lower limit of attempts binds it at once.  All else stays."""
        self._take_settings(settings)
        self.limits.renew(self.max_deadline)
        for key, (told, bucket) in self.buckets.items():
            self.entitlements.update_bucket(now, key, told, bucket)

    def handle(self, now: float, event: io.Event) -> list[io.Action]:
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
        for peer in self.words.due(now):
            self._flush_messages(now, peer)
        return self.actions

    def ping_peers(self, now: float) -> list[io.Action]:
        """A word to each peer, which answers: for an operator who wants to know whom this gateway hears."""
        self.actions = []
        for peer in range(self.settings.gateways if self.settings.can_tell else 0):
            if peer != self.settings.number:
                self.words.call(now, peer, self.server_pool.own_in_flight())
                self._flush_messages(now, peer)
        return self.actions

    def zones_changed(self, now: float) -> list[io.Action]:
        """An operator's word has moved a zone."""
        self.actions = []
        self._on_zones_changed(now)
        if not self.zone_timer_set:                       # its end comes by time alone
            self._zone_timer(now)
        return self.actions

    def _set_timer(self, delay: float, act: Callable[[float], object]) -> None:
        mark = next(self.timer_ids)
        self.timers[mark] = act
        self.actions.append(io.SetTimer(max(delay, self.settings.tick), mark))

    def _expire(self, now: float) -> None:
        """Idle buckets, copies and leases age out; state stays bounded by recent traffic."""
        self._set_timer(self.max_deadline / 4, self._expire)      # first: one that fails must not be the last
        for key, (told, b) in list(self.buckets.items()):
            self.entitlements.update_bucket(now, key, told, b)
            self.fallback.apply_share(now, key, b)
            if b.open <= 0 and now - b.at > self.max_deadline and b.part == 1.0 and b.fill(now) >= b.burst:
                del self.buckets[key]
        self.fallback.expire(now, self.max_deadline)
        self.words.clean(now, self.max_deadline)
        for name, lease in list(self.leases.items()):
            if now >= lease.until:
                self._end_lease(now, name, 0.0)
                del self.leases[name]
        self.verdicts.clean(now)
        for short in self.server_pool.clean(now, self.verdicts.by):
            self.verdicts.forget(short)
        self.pace.clean(now)
        self.limits.clean(now)
        self.unanswered_asks = {number: h for number, h in self.unanswered_asks.items() if now < h.due}
        self.owners.clear()

    def _on_request(self, now: float, e: io.Request) -> None:
        if e.service not in self.classes or e.plan not in self.plans:
            raise ValueError(f"request: service {e.service!r} or plan {e.plan!r} is not in the settings")
        told, spread = self.plans[e.plan][0], max(1, min(e.spread, self.settings.gateways))
        key = digest(e.customer)
        number, plan, version = self.entitlements.effective_plan(now, key, told)
        ring = (key, e.first, spread)
        if ring not in self.owners:
            self.owners[ring] = ring_owner(key, members(e.first, spread, self.settings.gateways))
        h = PendingRequest(e.request, self.classes[e.service], plan, number, key, e.units, e.due, now,
                 self.owners[ring], spread, told, version, e.quota_only)
        for b in e.earlier_attempts:
            there = Server(io.Entry("", b.zone, b.cell), self.settings.number, self.half_life)
            h.earlier_attempts.append(Attempt(there, now - b.age, False))
        self.pending[e.request] = h
        self.fallback.record_request(now, h)
        last = min(
            (a.sent_at + h.service_class.window - self.settings.tick for a in h.earlier_attempts),
            default=e.due - 2 * self.settings.tick,
        )
        self._set_timer(
            min(last, e.due - 2 * self.settings.tick) - now, lambda t: self._retry_or_answer(t, h)
        )
        if h.earlier_attempts and not any(
            self._may_retry_on(h, h.earlier_attempts, s, now) for s in self.server_pool.up
        ):
            self._turn_down(now, h)
        elif e.charged or not plan.rate and not plan.most_open:
            self._proceed(now, h)
        elif h.owner == self.settings.number:
            self._decide_as_owner(now, h)
        elif (wait := self.fallback.refusal_wait(now, h, self.settings.inbox_per_s * INBOX_SHARE,
                                              self.usual_latency[h.service_class.name])) is not None:
            self._over_quota(now, h, wait)
        elif (not self.settings.can_tell or self.members.silent(now, h.owner)
              or not self.breakers[h.owner].allows(now)):
            self._request_reply(now, h.owner)
            self._decide_without_owner(now, h)
        else:
            self._ask_owner(now, h)

    def _decide_as_owner(self, now: float, h: PendingRequest) -> None:
        name = (self.settings.number, next(self.ask_numbers) & pw.NUMBERS)
        lease = self._owner_verdict(now, name, h.customer_key, h.named_plan, h.units, h.due - now)
        if lease.granted:
            h.grant, h.reservation = name, lease.reservation
            self._proceed(now, h)
        else:
            self._over_quota(now, h, self._owned_bucket(now, h.customer_key, h.named_plan).wait_for(h.units))

    def _ask_owner(self, now: float, h: PendingRequest) -> None:
        speaks = pw.SPEAKS if self.entitlements.extended or self.fallback.enabled else 0
        h.pending_ask = number = next(self.ask_numbers) & pw.NUMBERS | speaks
        self.unanswered_asks[number] = h
        ask = pw.Ask(
            number, h.customer_key, h.named_plan, h.units, h.due - now, self.fallback.tokens_left(now, h)
        )
        if self.entitlements.supports_extended(now, h.owner):
            if self.fallback.enabled:
                ask = ask._replace(demand=self.fallback.shares.average_demand(now, h.customer_key))
            owed: list[pw.Item] = [
                *self.entitlements.unconfirmed_draws(h.customer_key),
                *self.fallback.count_to_report(now, h),
            ]
            for item in owed:
                self._queue_message(h.owner, item)
        self._queue_message(h.owner, ask)
        most = min(h.service_class.aim * const.ASK_TIMEOUT_AIMS, (h.due - now) / 3)
        again = self.pace.asked(now, number, h.owner, most)

        def unheard(t: float) -> None:
            if h.pending_ask != number or h.ended:
                return self.pace.dropped(number)
            if (again := self.pace.unheard(t, number)) is not None:
                self._queue_message(h.owner, ask)
                self._set_timer(again, unheard)
            else:
                h.pending_ask = None
                # whatever the owner may grant after all is void: it is counted anew
                if self.fallback.enabled:
                    h.grant_released = True
                    self.words.ride(h.owner, pw.Release(number, h.units))
                self.breakers[h.owner].record_failure(t, self.random.random())
                self.members.unheard(t, h.owner, now)
                self._decide_without_owner(t, h)

        self._set_timer(again, unheard)

    def _decide_without_owner(self, now: float, h: PendingRequest) -> None:
        """The owner cannot be asked: the late copy less what it let in since, else the share, decides."""
        out = sum(o.customer_key == h.customer_key and o.has_attempt_in_flight()
                  for o in self.pending.values()) if h.plan.most_open else 0
        inside, wait = self.fallback.decide(now, h, out, self.breakers[h.owner].failures)
        if inside:
            self.fallback.record_admitted(now, h)
        elif (drawn := self.entitlements.draw_without_owner(now, h.customer_key, h.units,
                                                            self.settings.number)) is not None:
            inside, h.reservation = True, drawn.tag
            self.actions.append(drawn)
        if inside:
            self._proceed(now, h)
        else:
            self._over_quota(now, h, max(0.0, wait))

    def _report_to_owners(self, now: float) -> None:
        """Who is silent is asked for a word, and owners are told again what they have not confirmed."""
        self._set_timer(REPORT_MS, self._report_to_owners)
        self.fallback.can_detect_silence = self.pace.fair(self.server_pool.active_peers(now)) <= REPORT_MS / 2
        for peer in self.fallback.quiet_peers(now):
            self._request_reply(now, peer)
        for peer in self.fallback.owners_to_report_to(now, self.report_interval):
            self._queue_wakeup(peer)

    def _over_quota(self, now: float, h: PendingRequest, wait: float) -> None:
        """Turned down by the quota: goes on all the same where the plan earns by it and servers are idle."""
        plan, load = h.plan, (sum(s.in_flight() for s in self.server_pool.busy_in_open_zones())
                              / self.server_pool.visible_share(now))
        idle = (load < len(self.server_pool.available) * self.server_limit * const.IDLE_LOAD_SHARE
                and now - self.last_queued_at > self.min_aim)
        earns = plan.beyond_earns > plan.excess_cost and not plan.ceiling_rate and not plan.most_open
        server = self._choose_server(now, h) if idle and earns and not h.quota_only else None
        if server is None:
            return self._turn_down(now, h, wait)
        h.beyond_quota = h.admitted = True
        self._send_attempt(now, h, server)

    def _queue_message(self, peer: int, item: pw.Item) -> None:
        if self.settings.can_tell:
            self.words.tell(peer, item)

    def _announce_start(self, now: float) -> None:
        """In its first second a start is told again and again: messages are lost, owners need copies."""
        if self.settings.gateways <= const.MAX_ANNOUNCED_GATEWAYS and self.fallback.is_starting(now):
            for peer in range(self.settings.gateways):
                if peer != self.settings.number:
                    self._queue_wakeup(peer)
            self._set_timer(REPORT_MS / 4, self._announce_start)

    def _queue_wakeup(self, peer: int) -> None:
        """A message goes to a peer with what the rest of this gateway has for it."""
        if self.settings.can_tell:
            self.words.wake(peer)

    def _request_reply(self, now: float, peer: int) -> None:
        if self.settings.can_tell:
            self.words.knock(now, peer, self.server_pool.own_in_flight())

    def _flush_messages(self, now: float, peer: int) -> None:
        """At once where the pace allows it; a timer only wakes: every event flushes what is due."""
        for found in self.words.flush(
            now, peer, self.server_pool.active_peers(now), self.server_pool.own_in_flight
        ):
            if isinstance(found, bytes):
                self.actions.append(io.SendToPeer(peer, found))
            else:
                self._set_timer(found, bool)

    def _spread_findings(self, now: float) -> None:
        """What is grave goes to peers drawn from all: asks alone go round among neighbours."""
        self._set_timer(SPREAD_MS, self._spread_findings)
        if self.verdicts.grave(now):
            peer = self.random.randrange(self.settings.gateways)
            if peer != self.settings.number:
                self._queue_wakeup(peer)

    def _renew_slots(self, now: float) -> None:
        """Slots at servers are asked for, and renewed."""
        self._set_timer(HASTE_MS, self._renew_slots)
        for lender, want in self.limits.due(now, self.server_pool.own_attempts_at):
            if lender != self.settings.number:
                self._queue_message(lender, want)
            elif (share := self.limits.lender.asked(now, lender, want, self.limits.pool())) is not None:
                self._on_share(now, share)

    def _on_share(self, now: float, share: Share) -> None:
        self.limits.heard(now, share)
        if self.waiting and share.slots:
            self._drain_queue(now)

    def _on_finding(self, now: float, sender: int, finding: Finding) -> None:
        name = self.verdicts.heard(now, sender, finding)
        if name is not None and name[1] == ZONE:
            self._check_zones(now)
        elif name is not None and name[1] != LIMITER:
            self.server_pool.set_fleet_verdict(*name, self.verdicts.by.get(name))

    def _check_zones(self, now: float) -> None:
        """At the zones: what is out where one is left now is moved, as far as its class allows."""
        if self.zones.look(now):
            self._on_zones_changed(now)
        if not self.zone_timer_set:
            self._zone_timer(now)

    def _on_zones_changed(self, now: float) -> None:
        self.actions += [io.Log(text) for text in self.zones.news]
        self.zones.news.clear()
        self.server_pool.zones_changed(now)
        for h in list(self.pending.values()):
            if (h.attempts and h.attempts[-1].in_flight
                    and not self.zones.part(h.attempts[-1].server.entry.zone)):
                self._review_attempt(now, h, len(h.attempts) - 1, again=False)
        self._drain_queue(now)

    def _zone_timer(self, now: float) -> None:
        """While a zone is not at home, or something failed, time alone may move it."""
        self.zone_timer_set = self.zones.uneasy(now)
        if self.zone_timer_set:
            self._set_timer(STEADY_MS, self._zone_timer)
            self._check_zones(now)

    def _on_peer_message(self, now: float, e: io.PeerMessage) -> None:
        items = pw.unpack(e.data)
        if not items or e.sender == self.settings.number:
            return
        self.breakers.pop(e.sender, None)       # any word closes it
        self.fallback.on_message(now, e.sender)
        self.members.heard(now, e.sender)
        self.server_pool.peer_reported(
            now, e.sender, next((item.out for item in items if isinstance(item, pw.Loads)), None)
        )
        self.pace.arrived(now, e.sender)
        if all(isinstance(item, pw.Loads) for item in items) or not self.pace.speaks(e.sender):
            # it wants to hear that the way is open, or what we speak
            self._request_reply(now, e.sender)
        for item in items:
            match item:
                case pw.Loads(((pw.INBOX, allowed), *_)):
                    self.pace.told(now, e.sender, allowed / pw.SIXTEENTHS)
                case pw.Ask():
                    self._on_ask(now, e.sender, item)
                case pw.Verdict():
                    self._on_verdict(now, e.sender, item)
                case pw.Release():
                    self._end_lease(now, (e.sender, item.number), item.back)
                case pw.Drawn():
                    if (kept := self.entitlements.on_remote_draw(e.sender, item)) is not None:
                        self.actions.append(kept)
                    self._queue_message(e.sender, pw.Told(item.tag, item.units))
                case pw.Told():
                    self.entitlements.on_draw_confirmed(item)
                case pw.Count() if item.plan < len(self.settings.plans):
                    bucket = self._owned_bucket(now, item.key, item.plan)
                    if (word := self.fallback.on_count(now, e.sender, item, bucket)) is not None:
                        self._queue_message(e.sender, word)
                case pw.Confirmed():
                    self.fallback.settlement.on_confirmed(now, e.sender, item)
                case pw.Fresh():
                    for want in self.limits.fresh(now, e.sender, self.server_pool.own_attempts_at):
                        self._queue_message(e.sender, want)
                    if self.fallback.on_peer_started(now, e.sender, item.incarnation):
                        self._queue_wakeup(e.sender)
                case pw.CopyOf() if item.plan < len(self.settings.plans) and self.fallback.is_starting(now):
                    self.fallback.on_copy(now, self._owned_bucket(now, item.key, item.plan), item.left)
                case pw.News():
                    stamp = self.verdicts.stamp(now - item.age)
                    self._on_finding(
                        now, e.sender, Finding(item.server, item.topic, item.slow, item.age, e.sender, stamp)
                    )
                case Finding():
                    self._on_finding(now, e.sender, item)
                case Want() if self.limits.node_attempts:
                    share = self.limits.lender.asked(now, e.sender, item, self.limits.pool())
                    if share is not None:
                        self._queue_message(e.sender, share)
                case Share():
                    self._on_share(now, item)

    def _on_ask(self, now: float, sender: int, ask: pw.Ask) -> None:
        if ask.plan >= len(self.settings.plans):
            return
        if ask.demand is not None:
            self.fallback.shares.record_peer_demand(now, ask.customer, sender, ask.demand)
        bucket = self._owned_bucket(now, ask.customer, ask.plan)
        # Only a new bucket knows less than a copy, which lacks what has filled while messages were under way.
        if ask.left is not None and now - bucket.born < WARMUP_MS and (sender, ask.number) not in self.leases:
            self.fallback.on_copy(now, bucket, ask.left)
        lease = self._owner_verdict(now, (sender, ask.number), ask.customer, ask.plan, ask.units, ask.lease)
        if lease.units <= 0:
            return                              # it was given up: nobody waits for a word
        verdict = pw.Verdict(ask.number, lease.granted, bucket.fill(now), bucket.open)
        if self.fallback.enabled and ask.number & pw.SPEAKS:
            share, total = self.fallback.shares.share_for(now, ask.customer, sender)
            verdict = verdict._replace(share=share, total=total)
        if self.entitlements.extended and ask.number & pw.SPEAKS:
            verdict = verdict._replace(plan=lease.judged, version=lease.version,
                                       reservation=lease.reservation,
                                       reserved=self.entitlements.reserved_units(now, ask.customer))
        self._queue_message(sender, verdict)

    def _on_verdict(self, now: float, sender: int, v: pw.Verdict) -> None:
        if v.number not in self.unanswered_asks or self.unanswered_asks[v.number].owner != sender:
            return
        h = self.unanswered_asks.pop(v.number)
        self.pace.answered(now, v.number)
        late = h.pending_ask != v.number or h.ended
        self.fallback.on_verdict(now, h, v)
        if v.share is not None or v.plan is not None:
            if word := self.entitlements.on_peer_version(now, sender, v.version):
                self.actions.append(io.Log(word))
        if late:                                   # too late to be used, but it still mended the copy
            if v.granted and not h.grant_released and (h.ended or not h.admitted):
                if h.unused_units() or h.plan.most_open:      # what the fallback let in keeps its units taken
                    self._queue_message(sender, pw.Release(v.number, h.unused_units()))
            elif v.granted and not h.grant_released:
                h.grant = (sender, v.number)
            return
        h.pending_ask = None
        h.plan_version, h.reservation = v.version, v.reservation      # who says none judges by the settings
        if v.plan is not None and v.plan < len(self.settings.plans):
            h.plan_index, h.plan = v.plan, self.entitlements.plan(now, v.plan)
        if v.granted:
            h.grant = (sender, v.number)
            self._proceed(now, h)
        else:
            self._over_quota(
                now, h, max(0.0, h.units - v.left) / h.plan.rate * 1000.0 if h.plan.rate else 0.0
            )

    def _on_server_list(self, now: float, e: io.ServerList) -> None:
        if e.kind is io.ListKind.LOST:
            return self._set_timer(self.min_aim, lambda t: self.actions.append(io.Subscribe()))
        self.server_pool.apply_list(now, e, self.half_life, self.verdicts.forget)
        self._drain_queue(now)

    def _proceed(self, now: float, h: PendingRequest) -> None:
        """Admitted, or in need of another attempt."""
        h.admitted = True
        if h.quota_only:
            self.actions.append(io.Grant(h.request, h.stamp()))
            return self._finish(now, h)
        server = self._choose_server(now, h)
        if server is not None:
            self._send_attempt(now, h, server)
        elif h.beyond_quota:
            self._turn_down(now, h, self.settings.max_retry_after)
        elif h not in self.waiting:
            self.last_queued_at = now
            self.waiting.append(h)
            last = h.due if h.service_class.late_worth else h.arrived_at + h.service_class.aim
            self._set_timer(
                last - const.ON_TIME_LATENCY_FACTOR * self.usual_latency[h.service_class.name] - now,
                self._drain_queue,
            )
            self._schedule_queue_check(now)

    def _schedule_queue_check(self, now: float) -> None:
        """Nothing is out from here whose outcome would pump, and servers come into question with time too."""
        if self.waiting and now >= self.next_queue_check_at and not self.server_pool.own_in_flight():
            self.next_queue_check_at = now + self.min_aim * MEDIAN_CACHE_AIMS
            self._set_timer(self.min_aim * MEDIAN_CACHE_AIMS, self._drain_queue)

    def _value(self, now: float, h: PendingRequest) -> float:
        """Worth for its work if it starts now."""
        usual = self.usual_latency[h.service_class.name]
        earned = (
            h.service_class.late_worth
            if now + const.ON_TIME_LATENCY_FACTOR * usual > h.arrived_at + h.service_class.aim
            else 1.0
        )
        return h.service_class.worth * h.plan.price * h.units / usual * earned

    def _drain_queue(self, now: float) -> None:
        """Room may be free: what is worth most for its work goes first, what would be late is shed."""
        queue, full = [h for h in self.waiting if not h.ended], False
        queue.sort(key=lambda h: (-self._value(now, h), -h.arrived_at))
        queue.reverse()
        self.waiting, kept = queue, []          # a failure costs the one that it meets, not those behind it
        while queue:
            h = queue.pop()
            usual = self.usual_latency[h.service_class.name]
            if self._value(now, h) <= 0 or now + usual >= h.due:
                self._turn_down(now, h, self.settings.max_retry_after)
            elif (server := None if full else self._choose_server(now, h)) is not None:
                self._send_attempt(now, h, server)
            else:
                full = full or not h.possibly_run_attempts()
                kept.append(h)
        self.waiting = kept
        self._schedule_queue_check(now)

    def _send_attempt(self, now: float, h: PendingRequest, server: Server) -> None:
        index = len(h.attempts)
        h.attempts.append(Attempt(server, now))
        server.attempts.append(h.attempts[-1])
        self.server_pool.attempt_sent(now, server)
        self.limits.began(now, server.short_id, len(server.attempts), index == 0)
        patient = (self.settings.can_cancel or self.settings.can_copy
                   or h.service_class.repeat is io.RepeatPolicy.NEVER)
        wait = 0.0 if patient else max(h.service_class.aim * 2 * const.REVIEW_AFTER_AIMS,
                                       2 * self.usual_latency[h.service_class.name])
        self.actions.append(io.Send(h.request, server.entry.server, wait, h.stamp()))
        if h.service_class.repeat is not io.RepeatPolicy.NEVER:
            self._set_timer(
                h.service_class.aim * const.REVIEW_AFTER_AIMS, lambda t: self._review_attempt(t, h, index)
            )

    def _review_attempt(self, now: float, h: PendingRequest, index: int, again: bool = True) -> None:
        """An attempt at a server that looks silent or slow is moved (or copied) while there is time."""
        attempt = h.attempts[index]
        usual = self.usual_latency[h.service_class.name]
        if (
            h.ended
            or h.not_repeatable
            or not attempt.in_flight
            or not index + 1 == len(h.attempts) < self.settings.max_attempts
            or not self.limits.further()
            or now + usual > h.arrived_at + h.service_class.aim
        ):
            return
        topics = self._topics(h)
        median = self.server_pool.median_slowness(now, topics, usual, h.service_class.aim)
        slow = attempt.server.slowness(now, usual, topics) >= const.SUSPECT_SLOWNESS * median
        suspect = slow or not self.zones.part(attempt.server.entry.zone)
        server = self._choose_server(now, h) if suspect else None
        if server is not None and server is not attempt.server:
            if self.settings.can_copy:
                self._send_attempt(now, h, server)
            elif self.settings.can_cancel:
                if slow:
                    self._record_judgement(
                        now, attempt.server, MAX_SLOWNESS, ALL_WORK, self.topics[h.service_class.name]
                    )
                self.actions.append(io.Cancel(h.request, index))
            # else it may be no more than a long queue
            if slow and now - self.last_queued_at > self.min_aim:
                self._report_to_zones(now, attempt.server, None)
            return
        if again:
            self._set_timer(
                h.service_class.aim * const.REVIEW_AFTER_AIMS / 2, lambda t: self._review_attempt(t, h, index)
            )

    def _on_stream_started(self, now: float, h: PendingRequest) -> None:
        """Its answer flows: nothing follows it, and its server, whose work is done, has room for another."""
        h.ended = True
        for attempt in h.attempts:
            if attempt in attempt.server.attempts:
                attempt.server.attempts.remove(attempt)
                self.server_pool.work_changed(attempt.server)
        self._drain_queue(now)

    def _on_outcome(self, now: float, e: io.Outcome) -> None:
        h = self.pending.get(e.request)
        if h is None or e.attempt >= len(h.attempts) or not h.attempts[e.attempt].in_flight:
            return
        attempt = h.attempts[e.attempt]
        server, usual = attempt.server, self.usual_latency[h.service_class.name]
        attempt.in_flight = False
        attempt.may_have_run = e.result not in io.NEVER_RAN
        if attempt in server.attempts:
            server.attempts.remove(attempt)
            self.server_pool.work_changed(server)
        self._learn_from_outcome(now, h, server, e, usual)
        if e.complete or h.ended:
            self._finish(now, h, e.actual_units)
        elif not h.has_attempt_in_flight():
            self._retry_or_answer(now, h)
        self._drain_queue(now)

    def _learn_from_outcome(
        self, now: float, h: PendingRequest, server: Server, e: io.Outcome, usual: float
    ) -> None:
        if e.result is io.Result.OK:
            self._record_judgement(now, server, e.took / usual, ALL_WORK, *self._topics(h))
            server.last_answer_at = now
            self.usual_latency[h.service_class.name] += EWMA_WEIGHT * (e.took - usual)
            if self.waiting and e.took < h.service_class.aim * const.FAST_ANSWER_AIMS:
                self.server_limit += const.SERVER_LIMIT_INCREASE / self.server_pool.visible_share(now)
        elif e.result is io.Result.FULL:
            self._record_judgement(now, server, MAX_SLOWNESS, self._topics(h)[1])
        elif e.server_blameless:
            pass
        elif e.unreadable or e.result is io.Result.RESET:  # it is there: any node fails so now and then
            self._record_judgement(
                now,
                server,
                max(const.RESET_SLOWNESS, e.took / usual),
                ALL_WORK,
                self.topics[h.service_class.name],
            )
        elif e.result not in (io.Result.NOT_SENT, io.Result.CANCELLED):
            self._record_judgement(now, server, MAX_SLOWNESS, ALL_WORK, self.topics[h.service_class.name])
        if e.result is io.Result.FULL or (
            e.result is io.Result.OK and e.took > h.service_class.aim * const.SLOW_ANSWER_AIMS
        ):
            self.server_limit = max(const.MIN_SERVER_LIMIT, self.server_limit * const.SERVER_LIMIT_DECREASE)
        there = e.unreadable or e.result in (io.Result.OK, io.Result.FULL)
        if not e.server_blameless and e.result not in (io.Result.NOT_SENT, io.Result.CANCELLED):
            self._report_to_zones(now, server, there)

    def _report_to_zones(self, now: float, server: Server, there: bool | None) -> None:
        """What became of an attempt says something of the server's zone; None: it was given up unanswered."""
        name, short = server.entry.zone, server.short_id
        if (self.zones.silent(now, name, short) if there is None else
                self.zones.ended(now, name, short, there)):
            self._on_zones_changed(now)
        if not there and not self.zone_timer_set and self.zones.on:
            self._zone_timer(now)

    def _retry_or_answer(self, now: float, h: PendingRequest) -> None:
        """All attempts are over without an answer: another where the class and the time allow it."""
        if h.ended or h.has_attempt_in_flight():
            return
        ran, last = (
            h.possibly_run_attempts(),
            h.due if h.service_class.late_worth else h.arrived_at + h.service_class.aim,
        )
        if (
            h.not_repeatable
            or now >= min(last, h.due - 2 * self.settings.tick)
            or len(h.attempts) >= self.settings.max_attempts
            or h.attempts
            and not self.limits.further()
            or ran
            and not any(self._may_retry_on(h, ran, s, now) for s in self.server_pool.available)
        ):
            self._turn_down(now, h)
        else:
            self._proceed(now, h)

    def _turn_down(self, now: float, h: PendingRequest, retry_after: float = 0.0) -> None:
        """Refused where trying again is harmless for sure, else failed (rule 2)."""
        harmless = (
            h.service_class.repeat is io.RepeatPolicy.SAFE
            or not h.possibly_run_attempts()
            or (
                h.service_class.repeat is io.RepeatPolicy.KEYED and h.service_class.group is io.DedupScope.ALL
            )
        )
        wait = retry_after if h.quota_only else min(retry_after, self.settings.max_retry_after)
        over_quota = not h.admitted and now < h.due - 2 * self.settings.tick
        harmless = harmless and (over_quota or not h.quota_only)    # no word in time is not a word
        self.actions.append(io.Refuse(h.request, wait, over_quota) if harmless else io.Fail(h.request))
        self._finish(now, h)

    def _on_client_gone(self, now: float, h: PendingRequest) -> None:
        """The client left: what its ask may be granted is given back unheard, for verdicts get lost."""
        if h.pending_ask is not None:
            self._queue_message(h.owner, pw.Release(h.pending_ask, h.units))
        self._finish(now, h)

    def _finish(self, now: float, h: PendingRequest, true_units: float | None = None) -> None:
        """The client has its answer; once nothing is out any more the lease ends too."""
        h.ended = True
        if h.has_attempt_in_flight():
            return
        self.pending.pop(h.request, None)
        if h.grant is None:
            return
        owner, number = h.grant
        back = h.unused_units()
        back = h.units - true_units if self.settings.trued_up and true_units else back
        if owner == self.settings.number:
            self._end_lease(now, h.grant, back)
        elif h.plan.most_open or back:
            self._queue_message(owner, pw.Release(number, back))

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
from collections.abc import Callable, Sequence

from larklb import decision_constants as const
from larklb import interface as io
from larklb import peerwire as pw
from larklb.fleet.leases import HASTE_MS, Limits, Share, Want
from larklb.fleet.members import Members
from larklb.fleet.pace import INBOX_SHARE, Pace
from larklb.fleet.verdicts import LIMITER, SPREAD_MS, ZONE, Finding, Verdicts
from larklb.fleet.words import Words
from larklb.fleet.zones import STEADY_MS
from larklb.health import ALL_WORK, WORST, Attempt, Server
from larklb.quota.breaker import CircuitBreaker
from larklb.quota.bucket import TokenBucket
from larklb.quota.entitlements import Entitlements
from larklb.quota.fallback import REPORT_MS, WARMUP_MS, Fallback
from larklb.quota.ring import digest, members, ring_owner
from larklb.quota.table_limits import evict_fullest
from larklb.records import Held, Lease
from larklb.server_selection import ServerSelection
from larklb.servers import LEARN, MEDIAN_AIM, Servers


class Gateway(ServerSelection):
    """One gateway: ``handle(now, event)`` returns the actions to carry out."""

    def __init__(self, settings: io.Settings, seed: int, now: float, book: Entitlements | None = None,
                 limits: Limits | None = None) -> None:
        self.book = book or Entitlements(settings.plans)
        self.alone = Fallback(settings, self.book, now)              # what is decided without the owner
        self.random = random.Random(seed)
        self.verdicts = Verdicts(settings.number, settings.gateways, const.half_life(settings))
        self.view = Servers(settings, self.random, self.verdicts)       # of all servers
        self.zones = self.view.zones
        self.usual: dict[str, float] = {}                         # by class, those that have vanished too
        self.topics: dict[str, int] = {}
        self._settle_in(settings)
        self.owners: dict[tuple[int, int, int], int] = {}         # of (customer, first, spread), recent ones
        self.buckets: dict[int, tuple[int, TokenBucket]] = {}     # that this gateway owns
        self.leases: dict[tuple[int, int], Lease] = {}
        self.breakers: defaultdict[int, CircuitBreaker] = defaultdict(CircuitBreaker)
        self.held: dict[str, Held] = {}
        self.asks: dict[int, Held] = {}                      # that wait for a verdict, even a late one
        self.waiting: list[Held] = []                             # admitted, but no server has room
        self.look_at = -math.inf                                 # when it is looked at next, if nothing else
        self.servers = self.view.of
        self.repeat = REPORT_MS                                   # between looks at who is to be told again
        self.room = const.ROOM_START
        self.steady = False                                       # the zones are looked at by a timer
        self.pressed = -math.inf                                  # when a job last had to wait for room
        self.timers: dict[int, Callable[[float], object]] = {}
        self.marks = itertools.count(1)
        self.numbers = itertools.count(self.random.randrange(1 << 31))
        self.pace = Pace(settings.inbox_per_s, settings.tick, self.aim)      # of words to peers
        self.members = Members(settings.number, settings.gateways, self.alone.last_heard_at, self.verdicts)
        self.words = Words(settings.number, self.aim, self.pace, self.alone, self.verdicts)
        self.limits = limits or Limits(settings.number, settings.gateways, now, self.most_due)
        self.actions: list[io.Action] = []

    def start(self, now: float) -> list[io.Action]:
        """To be called once, before the first event."""
        self.actions = [io.Subscribe()] if self.s.must_ask_list else []
        self._after(self.most_due / 2, self._clean)
        if self.s.can_tell and self.s.gateways > 1:
            self._after(SPREAD_MS, self._spread)
        if self.limits.node_attempts:
            self._after(HASTE_MS, self._lease)
        if self.alone.enabled:
            # Words that nobody asked for leave nearly all of an inbox to those that somebody waits for.
            self.repeat = max(REPORT_MS,
                              const.REPEAT_GAPS * 1000.0 / max(1e-3, self.s.inbox_per_s * INBOX_SHARE))
            self._after(REPORT_MS, self._repeat)
            self._greet(now)
        return self.actions

    def _settle_in(self, settings: io.Settings) -> None:
        self.s = self.alone.settings = self.view.s = settings
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: (i, p) for i, p in enumerate(settings.plans)}
        for c in settings.classes:                # a class keeps its topic, here and at peers, for good
            self.usual.setdefault(c.name, c.aim * const.FIRST_GUESS_AIM)
            self.topics.setdefault(c.name, 1 + len(self.topics))
        self.aim = min(c.aim for c in settings.classes)
        self.most_due = max(c.deadline for c in settings.classes)
        self.forgive = const.half_life(settings)

    def renew(self, now: float, settings: io.Settings) -> None:
        """Other settings count from now on, of the same limiter among as many, the plans in their places.

        A job under way keeps its class; a lower limit of attempts binds it at once.  All else stays."""
        self._settle_in(settings)
        self.limits.renew(self.most_due)
        for key, (told, bucket) in self.buckets.items():
            self.book.update_bucket(now, key, told, bucket)

    def handle(self, now: float, event: io.Event) -> list[io.Action]:
        self.actions = []
        match event:
            case io.Request():
                self._request(now, event)
            case io.Outcome():
                self._outcome(now, event)
            case io.Timer():
                self.timers.pop(event.mark, bool)(now)
            case io.PeerMessage():
                self._peer(now, event)
            case io.ServerList():
                self._list(now, event)
            case io.ClientGone() if event.request in self.held:
                self._gone(now, self.held[event.request])
            case io.StreamStarted() if event.request in self.held:
                self._started(now, self.held[event.request])
            case io.Spent() if event.request in self.held:
                self.held[event.request].spent = True
        for peer in self.words.due(now):
            self._flush(now, peer)
        return self.actions

    def call(self, now: float) -> list[io.Action]:
        """A word to each peer, which answers: for an operator who wants to know whom this gateway hears."""
        self.actions = []
        for peer in range(self.s.gateways if self.s.can_tell else 0):
            if peer != self.s.number:
                self.words.call(now, peer, self.view.out())
                self._flush(now, peer)
        return self.actions

    def zones_moved(self, now: float) -> list[io.Action]:
        """An operator's word has moved a zone."""
        self.actions = []
        self._moved(now)
        if not self.steady:                       # its end comes by time alone
            self._steady(now)
        return self.actions

    def _after(self, delay: float, act: Callable[[float], object]) -> None:
        mark = next(self.marks)
        self.timers[mark] = act
        self.actions.append(io.SetTimer(max(delay, self.s.tick), mark))

    def _clean(self, now: float) -> None:
        """Idle buckets, copies and leases age out; state stays bounded by recent traffic."""
        self._after(self.most_due / 4, self._clean)      # first: one that fails must not be the last
        for key, (told, b) in list(self.buckets.items()):
            self.book.update_bucket(now, key, told, b)
            self.alone.apply_share(now, key, b)
            if b.open <= 0 and now - b.at > self.most_due and b.part == 1.0 and b.fill(now) >= b.burst:
                del self.buckets[key]
        self.alone.expire(now, self.most_due)
        self.words.clean(now, self.most_due)
        for name, lease in list(self.leases.items()):
            if now >= lease.until:
                self._lease_over(now, name, 0.0)
                del self.leases[name]
        self.verdicts.clean(now)
        for short in self.view.clean(now, self.verdicts.by):
            self.verdicts.forget(short)
        self.pace.clean(now)
        self.limits.clean(now)
        self.asks = {number: h for number, h in self.asks.items() if now < h.due}
        self.owners.clear()

    def bucket_rows(self) -> list[tuple[int, str, float, float]]:
        """The owned buckets for a store: customer, plan, tokens and when they were counted."""
        return [(key, self.s.plans[p].name, min(b.tokens, b.burst), b.at)
                for key, (p, b) in self.buckets.items()]

    def restore(self, now: float, rows: Sequence[tuple[int, str, float, float]]) -> int:
        """Buckets from a store, to be called before the first request; of unknown plans none are kept."""
        for key, plan_name, tokens, at in rows:
            if plan_name in self.plans and at <= now:
                number = self.plans[plan_name][0]
                self.buckets[key] = (number, self.book.restored_bucket(key, number, tokens, at))
        return len(self.buckets)

    def _bucket(self, now: float, key: int, plan_number: int) -> TokenBucket:
        if key not in self.buckets:
            evict_fullest(self.buckets, now, self.book.max_customers)
            self.buckets[key] = (plan_number, self.book.new_bucket(now, key, plan_number))
        bucket = self.buckets[key][1]
        self.book.update_bucket(now, key, plan_number, bucket)
        self.alone.apply_share(now, key, bucket)
        return bucket

    def _decide(self, now: float, name: tuple[int, int], key: int, plan_number: int, units: float,
                lease: float) -> Lease:
        """The owner's verdict; the same ask gets the same one."""
        if name in self.leases:
            return self.leases[name]
        judged, bucket = self.book.effective_plan(now, key, plan_number), self._bucket(now, key, plan_number)
        plan, drawn = judged.plan, None
        bucket.fill(now)
        room = not plan.most_open or bucket.open < plan.most_open
        granted = room and (not plan.rate or bucket.tokens >= units - 1e-9)
        if granted:
            bucket.tokens -= units if plan.rate else 0.0
        elif room and (drawn := self.book.draw(now, key, units)) is not None:
            granted = True
            self.actions.append(drawn)
        bucket.open += granted
        until = now + min(lease, self.most_due)
        self.leases[name] = Lease(key, plan_number, granted, units, until, not granted, judged.number,
                                  judged.version, drawn.tag if drawn is not None else 0)
        return self.leases[name]

    def _lease_over(self, now: float, name: tuple[int, int], back: float) -> None:
        lease = self.leases.get(name)
        if lease is None and self.alone.enabled:  # it overtook its ask, which must not be granted any more
            self.leases[name] = Lease(0, 0, False, 0.0, now + self.most_due, True)
        if lease is None or lease.over:
            return
        lease.over = True
        bucket = self._bucket(now, lease.customer, lease.plan)
        bucket.fill(now)
        bucket.open = max(0, bucket.open - 1)
        if not lease.reservation:
            bucket.give_back(min(back, lease.units))
        elif (kept := self.book.give_back(lease.reservation, min(back, lease.units))) is not None:
            self.actions.append(kept)

    def _request(self, now: float, e: io.Request) -> None:
        if e.service not in self.classes or e.plan not in self.plans:
            raise ValueError(f"request: service {e.service!r} or plan {e.plan!r} is not in the settings")
        told, spread = self.plans[e.plan][0], max(1, min(e.spread, self.s.gateways))
        key = digest(e.customer)
        number, plan, version = self.book.effective_plan(now, key, told)
        ring = (key, e.first, spread)
        if ring not in self.owners:
            self.owners[ring] = ring_owner(key, members(e.first, spread, self.s.gateways))
        h = Held(e.request, self.classes[e.service], plan, number, key, e.units, e.due, now,
                 self.owners[ring], spread, told, version, e.question)
        for b in e.before:
            there = Server(io.Entry("", b.zone, b.cell), self.s.number, self.forgive)
            h.before.append(Attempt(there, now - b.age, False))
        self.held[e.request] = h
        self.alone.record_request(now, h)
        last = min((a.sent + h.cls.window - self.s.tick for a in h.before), default=e.due - 2 * self.s.tick)
        self._after(min(last, e.due - 2 * self.s.tick) - now, lambda t: self._next(t, h))
        if h.before and not any(self._may_follow(h, h.before, s, now) for s in self.view.up):
            self._answer(now, h)
        elif e.paid or not plan.rate and not plan.most_open:
            self._go(now, h)
        elif h.owner == self.s.number:
            self._own(now, h)
        elif (wait := self.alone.refusal_wait(now, h, self.s.inbox_per_s * INBOX_SHARE,
                                              self.usual[h.cls.name])) is not None:
            self._beyond(now, h, wait)
        elif (not self.s.can_tell or self.members.silent(now, h.owner)
              or not self.breakers[h.owner].allows(now)):
            self._knock(now, h.owner)
            self._fallback(now, h)
        else:
            self._ask(now, h)

    def _own(self, now: float, h: Held) -> None:
        name = (self.s.number, next(self.numbers) & pw.NUMBERS)
        lease = self._decide(now, name, h.key, h.told, h.units, h.due - now)
        if lease.granted:
            h.grant, h.reservation = name, lease.reservation
            self._go(now, h)
        else:
            self._beyond(now, h, self._bucket(now, h.key, h.told).wait_for(h.units))

    def _ask(self, now: float, h: Held) -> None:
        speaks = pw.SPEAKS if self.book.extended or self.alone.enabled else 0
        h.asking = number = next(self.numbers) & pw.NUMBERS | speaks
        self.asks[number] = h
        ask = pw.Ask(number, h.key, h.told, h.units, h.due - now, self.alone.tokens_left(now, h))
        if self.book.supports_extended(now, h.owner):
            if self.alone.enabled:
                ask = ask._replace(demand=self.alone.shares.average_demand(now, h.key))
            owed: list[pw.Item] = [*self.book.unconfirmed_draws(h.key), *self.alone.count_to_report(now, h)]
            for item in owed:
                self._tell(h.owner, item)
        self._tell(h.owner, ask)
        most = min(h.cls.aim * const.GIVE_UP_AIM, (h.due - now) / 3)
        again = self.pace.asked(now, number, h.owner, most)

        def unheard(t: float) -> None:
            if h.asking != number or h.ended:
                return self.pace.dropped(number)
            if (again := self.pace.unheard(t, number)) is not None:
                self._tell(h.owner, ask)
                self._after(again, unheard)
            else:
                h.asking = None
                if self.alone.enabled:  # whatever the owner may grant after all is void: it is counted anew
                    h.void = True
                    self.words.ride(h.owner, pw.Release(number, h.units))
                self.breakers[h.owner].record_failure(t, self.random.random())
                self.members.unheard(t, h.owner, now)
                self._fallback(t, h)

        self._after(again, unheard)

    def _fallback(self, now: float, h: Held) -> None:
        """The owner cannot be asked: the late copy less what it let in since, else the share, decides."""
        out = sum(o.key == h.key and o.out() for o in self.held.values()) if h.plan.most_open else 0
        inside, wait = self.alone.decide(now, h, out, self.breakers[h.owner].failures)
        if inside:
            self.alone.record_admitted(now, h)
        elif (drawn := self.book.draw_without_owner(now, h.key, h.units, self.s.number)) is not None:
            inside, h.reservation = True, drawn.tag
            self.actions.append(drawn)
        if inside:
            self._go(now, h)
        else:
            self._beyond(now, h, max(0.0, wait))

    def _repeat(self, now: float) -> None:
        """Who is silent is asked for a word, and owners are told again what they have not confirmed."""
        self._after(REPORT_MS, self._repeat)
        self.alone.can_detect_silence = self.pace.fair(self.view.writers(now)) <= REPORT_MS / 2
        for peer in self.alone.quiet_peers(now):
            self._knock(now, peer)
        for peer in self.alone.owners_to_report_to(now, self.repeat):
            self._wake(peer)

    def _beyond(self, now: float, h: Held, wait: float) -> None:
        """Turned down by the quota: goes on all the same where the plan earns by it and servers are idle."""
        plan, load = h.plan, sum(s.out() for s in self.view.used()) / self.view.seen(now)
        idle = load < len(self.view.able) * self.room * const.IDLE_PART and now - self.pressed > self.aim
        earns = plan.beyond_earns > plan.excess_cost and not plan.ceiling_rate and not plan.most_open
        server = self._choose(now, h) if idle and earns and not h.question else None
        if server is None:
            return self._answer(now, h, wait)
        h.beyond = h.admitted = True
        self._send(now, h, server)

    def _tell(self, peer: int, item: pw.Item) -> None:
        if self.s.can_tell:
            self.words.tell(peer, item)

    def _greet(self, now: float) -> None:
        """In its first second a start is told again and again: messages are lost, owners need copies."""
        if self.s.gateways <= const.GREETED and self.alone.is_starting(now):
            for peer in range(self.s.gateways):
                if peer != self.s.number:
                    self._wake(peer)
            self._after(REPORT_MS / 4, self._greet)

    def _wake(self, peer: int) -> None:
        """A message goes to a peer with what the rest of this gateway has for it."""
        if self.s.can_tell:
            self.words.wake(peer)

    def _knock(self, now: float, peer: int) -> None:
        if self.s.can_tell:
            self.words.knock(now, peer, self.view.out())

    def _flush(self, now: float, peer: int) -> None:
        """At once where the pace allows it; a timer only wakes: every event flushes what is due."""
        for found in self.words.flush(now, peer, self.view.writers(now), self.view.out):
            if isinstance(found, bytes):
                self.actions.append(io.Tell(peer, found))
            else:
                self._after(found, bool)

    def _spread(self, now: float) -> None:
        """What is grave goes to peers drawn from all: asks alone go round among neighbours."""
        self._after(SPREAD_MS, self._spread)
        if self.verdicts.grave(now):
            peer = self.random.randrange(self.s.gateways)
            if peer != self.s.number:
                self._wake(peer)

    def _lease(self, now: float) -> None:
        """Slots at servers are asked for, and renewed."""
        self._after(HASTE_MS, self._lease)
        for lender, want in self.limits.due(now, self.view.attempts):
            if lender != self.s.number:
                self._tell(lender, want)
            elif (share := self.limits.lender.asked(now, lender, want, self.limits.pool())) is not None:
                self._lent(now, share)

    def _lent(self, now: float, share: Share) -> None:
        self.limits.heard(now, share)
        if self.waiting and share.slots:
            self._pump(now)

    def _found(self, now: float, sender: int, finding: Finding) -> None:
        name = self.verdicts.heard(now, sender, finding)
        if name is not None and name[1] == ZONE:
            self._look(now)
        elif name is not None and name[1] != LIMITER:
            self.view.found(*name, self.verdicts.by.get(name))

    def _look(self, now: float) -> None:
        """At the zones: what is out where one is left now is moved, as far as its class allows."""
        if self.zones.look(now):
            self._moved(now)
        if not self.steady:
            self._steady(now)

    def _moved(self, now: float) -> None:
        self.actions += [io.Log(text) for text in self.zones.news]
        self.zones.news.clear()
        self.view.moved(now)
        for h in list(self.held.values()):
            if h.attempts and h.attempts[-1].out and not self.zones.part(h.attempts[-1].server.entry.zone):
                self._review(now, h, len(h.attempts) - 1, again=False)
        self._pump(now)

    def _steady(self, now: float) -> None:
        """While a zone is not at home, or something failed, time alone may move it."""
        self.steady = self.zones.uneasy(now)
        if self.steady:
            self._after(STEADY_MS, self._steady)
            self._look(now)

    def _peer(self, now: float, e: io.PeerMessage) -> None:
        items = pw.unpack(e.data)
        if not items or e.sender == self.s.number:
            return
        self.breakers.pop(e.sender, None)       # any word closes it
        self.alone.on_message(now, e.sender)
        self.members.heard(now, e.sender)
        self.view.heard(now, e.sender, next((item.out for item in items if isinstance(item, pw.Loads)), None))
        self.pace.arrived(now, e.sender)
        if all(isinstance(item, pw.Loads) for item in items) or not self.pace.speaks(e.sender):
            self._knock(now, e.sender)          # it wants to hear that the way is open, or what we speak
        for item in items:
            match item:
                case pw.Loads(((pw.INBOX, allowed), *_)):
                    self.pace.told(now, e.sender, allowed / pw.SIXTEENTHS)
                case pw.Ask():
                    self._asked(now, e.sender, item)
                case pw.Verdict():
                    self._verdict(now, e.sender, item)
                case pw.Release():
                    self._lease_over(now, (e.sender, item.number), item.back)
                case pw.Drawn():
                    if (kept := self.book.on_remote_draw(e.sender, item)) is not None:
                        self.actions.append(kept)
                    self._tell(e.sender, pw.Told(item.tag, item.units))
                case pw.Told():
                    self.book.on_draw_confirmed(item)
                case pw.Count() if item.plan < len(self.s.plans):
                    bucket = self._bucket(now, item.key, item.plan)
                    if (word := self.alone.on_count(now, e.sender, item, bucket)) is not None:
                        self._tell(e.sender, word)
                case pw.Confirmed():
                    self.alone.settlement.on_confirmed(now, e.sender, item)
                case pw.Fresh():
                    for want in self.limits.fresh(now, e.sender, self.view.attempts):
                        self._tell(e.sender, want)
                    if self.alone.on_peer_started(now, e.sender, item.incarnation):
                        self._wake(e.sender)
                case pw.CopyOf() if item.plan < len(self.s.plans) and self.alone.is_starting(now):
                    self.alone.on_copy(now, self._bucket(now, item.key, item.plan), item.left)
                case pw.News():
                    stamp = self.verdicts.stamp(now - item.age)
                    self._found(now, e.sender, Finding(item.server, item.topic, item.slow, item.age, e.sender,
                                                       stamp))
                case Finding():
                    self._found(now, e.sender, item)
                case Want() if self.limits.node_attempts:
                    share = self.limits.lender.asked(now, e.sender, item, self.limits.pool())
                    if share is not None:
                        self._tell(e.sender, share)
                case Share():
                    self._lent(now, item)

    def _asked(self, now: float, sender: int, ask: pw.Ask) -> None:
        if ask.plan >= len(self.s.plans):
            return
        if ask.demand is not None:
            self.alone.shares.record_peer_demand(now, ask.customer, sender, ask.demand)
        bucket = self._bucket(now, ask.customer, ask.plan)
        # Only a new bucket knows less than a copy, which lacks what has filled while messages were under way.
        if ask.left is not None and now - bucket.born < WARMUP_MS and (sender, ask.number) not in self.leases:
            self.alone.on_copy(now, bucket, ask.left)
        lease = self._decide(now, (sender, ask.number), ask.customer, ask.plan, ask.units, ask.lease)
        if lease.units <= 0:
            return                              # it was given up: nobody waits for a word
        verdict = pw.Verdict(ask.number, lease.granted, bucket.fill(now), bucket.open)
        if self.alone.enabled and ask.number & pw.SPEAKS:
            share, total = self.alone.shares.share_for(now, ask.customer, sender)
            verdict = verdict._replace(share=share, total=total)
        if self.book.extended and ask.number & pw.SPEAKS:
            verdict = verdict._replace(plan=lease.judged, version=lease.version,
                                       reservation=lease.reservation,
                                       reserved=self.book.reserved_units(now, ask.customer))
        self._tell(sender, verdict)

    def _verdict(self, now: float, sender: int, v: pw.Verdict) -> None:
        if v.number not in self.asks or self.asks[v.number].owner != sender:
            return
        h = self.asks.pop(v.number)
        self.pace.answered(now, v.number)
        late = h.asking != v.number or h.ended
        self.alone.on_verdict(now, h, v)
        if v.share is not None or v.plan is not None:
            if word := self.book.on_peer_version(now, sender, v.version):
                self.actions.append(io.Log(word))
        if late:                                   # too late to be used, but it still mended the copy
            if v.granted and not h.void and (h.ended or not h.admitted):
                if h.unused() or h.plan.most_open:      # what the fallback let in keeps its units taken
                    self._tell(sender, pw.Release(v.number, h.unused()))
            elif v.granted and not h.void:
                h.grant = (sender, v.number)
            return
        h.asking = None
        h.version, h.reservation = v.version, v.reservation      # who says none judges by the settings
        if v.plan is not None and v.plan < len(self.s.plans):
            h.plan_number, h.plan = v.plan, self.book.plan(now, v.plan)
        if v.granted:
            h.grant = (sender, v.number)
            self._go(now, h)
        else:
            self._beyond(now, h, max(0.0, h.units - v.left) / h.plan.rate * 1000.0 if h.plan.rate else 0.0)

    def _list(self, now: float, e: io.ServerList) -> None:
        if e.kind is io.ListKind.LOST:
            return self._after(self.aim, lambda t: self.actions.append(io.Subscribe()))
        self.view.listed(now, e, self.forgive, self.verdicts.forget)
        self._pump(now)

    def _go(self, now: float, h: Held) -> None:
        """Admitted, or in need of another attempt."""
        h.admitted = True
        if h.question:
            self.actions.append(io.Grant(h.request, h.stamp()))
            return self._over(now, h)
        server = self._choose(now, h)
        if server is not None:
            self._send(now, h, server)
        elif h.beyond:
            self._answer(now, h, self.s.max_retry_after)
        elif h not in self.waiting:
            self.pressed = now
            self.waiting.append(h)
            last = h.due if h.cls.late_worth else h.came + h.cls.aim
            self._after(last - const.SLACK * self.usual[h.cls.name] - now, self._pump)
            self._look_again(now)

    def _look_again(self, now: float) -> None:
        """Nothing is out from here whose outcome would pump, and servers come into question with time too."""
        if self.waiting and now >= self.look_at and not self.view.out():
            self.look_at = now + self.aim * MEDIAN_AIM
            self._after(self.aim * MEDIAN_AIM, self._pump)

    def _value(self, now: float, h: Held) -> float:
        """Worth for its work if it starts now."""
        usual = self.usual[h.cls.name]
        earned = h.cls.late_worth if now + const.SLACK * usual > h.came + h.cls.aim else 1.0
        return h.cls.worth * h.plan.price * h.units / usual * earned

    def _pump(self, now: float) -> None:
        """Room may be free: what is worth most for its work goes first, what would be late is shed."""
        queue, full = [h for h in self.waiting if not h.ended], False
        queue.sort(key=lambda h: (-self._value(now, h), -h.came))
        queue.reverse()
        self.waiting, kept = queue, []          # a failure costs the one that it meets, not those behind it
        while queue:
            h = queue.pop()
            usual = self.usual[h.cls.name]
            if self._value(now, h) <= 0 or now + usual >= h.due:
                self._answer(now, h, self.s.max_retry_after)
            elif (server := None if full else self._choose(now, h)) is not None:
                self._send(now, h, server)
            else:
                full = full or not h.ran()
                kept.append(h)
        self.waiting = kept
        self._look_again(now)

    def _send(self, now: float, h: Held, server: Server) -> None:
        index = len(h.attempts)
        h.attempts.append(Attempt(server, now))
        server.attempts.append(h.attempts[-1])
        self.view.sent(now, server)
        self.limits.began(now, server.short, len(server.attempts), index == 0)
        patient = self.s.can_cancel or self.s.can_copy or h.cls.repeat is io.Repeat.NEVER
        wait = 0.0 if patient else max(h.cls.aim * 2 * const.PATIENCE_AIM, 2 * self.usual[h.cls.name])
        self.actions.append(io.Send(h.request, server.entry.server, wait, h.stamp()))
        if h.cls.repeat is not io.Repeat.NEVER:
            self._after(h.cls.aim * const.PATIENCE_AIM, lambda t: self._review(t, h, index))

    def _review(self, now: float, h: Held, index: int, again: bool = True) -> None:
        """An attempt at a server that looks silent or slow is moved (or copied) while there is time."""
        attempt = h.attempts[index]
        usual = self.usual[h.cls.name]
        if (h.ended or h.spent or not attempt.out or not index + 1 == len(h.attempts) < self.s.max_attempts
                or not self.limits.further()
                or now + usual > h.came + h.cls.aim):
            return
        topics = self._topics(h)
        median = self.view.median(now, topics, usual, h.cls.aim)
        slow = attempt.server.slowness(now, usual, topics) >= const.SUSPECT * median
        suspect = slow or not self.zones.part(attempt.server.entry.zone)
        server = self._choose(now, h) if suspect else None
        if server is not None and server is not attempt.server:
            if self.s.can_copy:
                self._send(now, h, server)
            elif self.s.can_cancel:
                if slow:
                    self._judge(now, attempt.server, WORST, ALL_WORK, self.topics[h.cls.name])
                self.actions.append(io.Cancel(h.request, index))
            if slow and now - self.pressed > self.aim:      # else it may be no more than a long queue
                self._ended(now, attempt.server, None)
            return
        if again:
            self._after(h.cls.aim * const.PATIENCE_AIM / 2, lambda t: self._review(t, h, index))

    def _started(self, now: float, h: Held) -> None:
        """Its answer flows: nothing follows it, and its server, whose work is done, has room for another."""
        h.ended = True
        for attempt in h.attempts:
            if attempt in attempt.server.attempts:
                attempt.server.attempts.remove(attempt)
                self.view.works(attempt.server)
        self._pump(now)

    def _outcome(self, now: float, e: io.Outcome) -> None:
        h = self.held.get(e.request)
        if h is None or e.attempt >= len(h.attempts) or not h.attempts[e.attempt].out:
            return
        attempt = h.attempts[e.attempt]
        server, usual = attempt.server, self.usual[h.cls.name]
        attempt.out = False
        attempt.may_have_run = e.result not in io.NEVER_RAN
        if attempt in server.attempts:
            server.attempts.remove(attempt)
            self.view.works(server)
        self._learn(now, h, server, e, usual)
        if e.complete or h.ended:
            self._over(now, h, e.true_units)
        elif not h.out():
            self._next(now, h)
        self._pump(now)

    def _learn(self, now: float, h: Held, server: Server, e: io.Outcome, usual: float) -> None:
        if e.result is io.Result.OK:
            self._judge(now, server, e.took / usual, ALL_WORK, *self._topics(h))
            server.heard = now
            self.usual[h.cls.name] += LEARN * (e.took - usual)
            if self.waiting and e.took < h.cls.aim * const.ROOM_FAST:
                self.room += const.ROOM_GROW / self.view.seen(now)
        elif e.result is io.Result.FULL:
            self._judge(now, server, WORST, self._topics(h)[1])
        elif e.stale:
            pass
        elif e.spoilt or e.result is io.Result.RESET:       # it is there: any node fails so now and then
            self._judge(now, server, max(const.SPOILT, e.took / usual), ALL_WORK, self.topics[h.cls.name])
        elif e.result not in (io.Result.MOOT, io.Result.CANCELLED):
            self._judge(now, server, WORST, ALL_WORK, self.topics[h.cls.name])
        if e.result is io.Result.FULL or (e.result is io.Result.OK and e.took > h.cls.aim * const.ROOM_SLOW):
            self.room = max(const.ROOM_LEAST, self.room * const.ROOM_SHRINK)
        there = e.spoilt or e.result in (io.Result.OK, io.Result.FULL)
        if not e.stale and e.result not in (io.Result.MOOT, io.Result.CANCELLED):
            self._ended(now, server, there)

    def _ended(self, now: float, server: Server, there: bool | None) -> None:
        """What became of an attempt says something of the server's zone; None: it was given up unanswered."""
        name, short = server.entry.zone, server.short
        if (self.zones.silent(now, name, short) if there is None else
                self.zones.ended(now, name, short, there)):
            self._moved(now)
        if not there and not self.steady and self.zones.on:
            self._steady(now)

    def _next(self, now: float, h: Held) -> None:
        """All attempts are over without an answer: another where the class and the time allow it."""
        if h.ended or h.out():
            return
        ran, last = h.ran(), h.due if h.cls.late_worth else h.came + h.cls.aim
        if (h.spent or now >= min(last, h.due - 2 * self.s.tick) or len(h.attempts) >= self.s.max_attempts
                or h.attempts and not self.limits.further()
                or ran and not any(self._may_follow(h, ran, s, now) for s in self.view.able)):
            self._answer(now, h)
        else:
            self._go(now, h)

    def _answer(self, now: float, h: Held, retry_after: float = 0.0) -> None:
        """Refused where trying again is harmless for sure, else failed (rule 2)."""
        harmless = (h.cls.repeat is io.Repeat.SAFE or not h.ran()
                    or (h.cls.repeat is io.Repeat.KEYED and h.cls.group is io.Group.ALL))
        wait = retry_after if h.question else min(retry_after, self.s.max_retry_after)
        over_quota = not h.admitted and now < h.due - 2 * self.s.tick
        harmless = harmless and (over_quota or not h.question)    # no word in time is not a word
        self.actions.append(io.Refuse(h.request, wait, over_quota) if harmless else io.Fail(h.request))
        self._over(now, h)

    def _gone(self, now: float, h: Held) -> None:
        """The client left: what its ask may be granted is given back unheard, for verdicts get lost."""
        if h.asking is not None:
            self._tell(h.owner, pw.Release(h.asking, h.units))
        self._over(now, h)

    def _over(self, now: float, h: Held, true_units: float | None = None) -> None:
        """The client has its answer; once nothing is out any more the lease ends too."""
        h.ended = True
        if h.out():
            return
        self.held.pop(h.request, None)
        if h.grant is None:
            return
        owner, number = h.grant
        back = h.unused()
        back = h.units - true_units if self.s.trued_up and true_units else back
        if owner == self.s.number:
            self._lease_over(now, h.grant, back)
        elif h.plan.most_open or back:
            self._tell(owner, pw.Release(number, back))

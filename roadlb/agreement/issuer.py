"""The side of a control service: makes versions, has them prepared, puts them in force, gives leases.

The version in force is the one that the issuers' store holds; at most one newer is in preparation.  As one
table, each line with its reason:

    from        what happens                    to         reason
    idle        it leads                        preparing  the newest that the store holds, as a version of
                                                           its own: a predecessor may have told some of one
                                                           that the store does not have
    steady      a proposal                      preparing  to all at once: what narrows does not wait
    preparing,  one that narrows further        preparing  a drain does not wait for what went before
    keeping
    preparing,  any other proposal              (waits)    the newest of them: a stream of proposals would
    keeping                                                keep all from coming into force
    preparing   a follower that counts refuses  preparing  the content in force, anew: who has narrowed and
                                                           who refused would contradict each other for ever
    preparing   the content in force is refused (goes on)  whoever refuses it is left behind, at its floors
    preparing   all have acknowledged, or their keeping    nobody uses what was before and is not after; a
                leases are gone; a new leader              new leader does not know who has a lease, and
                has waited as long; leadership             waits as if all had
                is sure
    keeping     the store has it                steady     in force; each gets a lease for the asking
    keeping     it may have it                  keeping    tried again: a new leader might read it, so it
                                                           cannot be withdrawn
    any         leadership is not sure          (alone)    nothing is granted or put in force, leases lapse;
                                                           what narrows still goes out
    any         it is deposed, or not sure and  idle       its followers refuse this one
                a higher epoch is heard of

A lease is given to a follower that has acknowledged the newest version, keeps to the one in force and stands
on the store's roll (`roll`); the issuer counts on it for `Timing.gone_us` from the answer.  Who is on the
roll when it begins to lead counts as a follower with a lease from then on, heard of or not.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from . import rules
from .events import (
    NOTHING,
    Ack,
    Ask,
    Book,
    Contents,
    Deposed,
    Exclude,
    Fenced,
    FollowerId,
    From,
    FromFollower,
    FromIssuer,
    Include,
    InForce,
    IssuerAction,
    IssuerEvent,
    IssuerView,
    Keep,
    Kept,
    Leading,
    Lease,
    Line,
    Nack,
    PeerView,
    Prepare,
    Propose,
    Reported,
    RollKept,
    StillLeading,
    To,
    Unkept,
    Version,
    VersionId,
    Withdrawn,
    Word,
)
from .lease import Timing
from .roll import Roll
from .rules import Floors

MOST_FOLLOWERS = 4096
MOST_VERSIONS = 64  # of which it is remembered what became of them
FORGET_US = 600_000_000  # a follower that was not heard of for so long is gone
REASON_MOST = 400  # characters of a refusal that are kept
NAMES_MOST = 8  # of followers that are said


class State(Enum):
    IDLE = "idle"
    STEADY = "steady"
    PREPARING = "preparing"
    KEEPING = "keeping"


class Peer:
    """One follower as the issuer knows it."""

    __slots__ = (
        "acked",
        "apart",
        "force",
        "heard",
        "heard_at",
        "life",
        "number",
        "refused",
        "sent",
        "sent_at",
        "until",
    )

    def __init__(self) -> None:
        self.acked, self.force = NOTHING, NOTHING
        self.until = -1  # the lease given last is surely gone then
        self.heard, self.heard_at = False, 0  # False: it is known by the roll alone
        self.life, self.number = 0, 0  # of its last `Ask`
        self.sent, self.sent_at = NOTHING, 0  # the last `Prepare` to it
        self.apart, self.refused = False, ""


class Issuer:
    """Decides for one control service: `handle(now, event) -> actions`."""

    __slots__ = (
        "alone",
        "epoch",
        "excluded",
        "floors",
        "force",
        "full",
        "history",
        "keeping",
        "kept_at",
        "leading",
        "number",
        "peers",
        "pending",
        "prepared",
        "ready_at",
        "roll",
        "strange",
        "sure_until",
        "timing",
        "unknown",
    )

    def __init__(self, timing: Timing, floors: Floors | None = None) -> None:
        self.timing, self.floors = timing, floors
        self.leading, self.alone, self.epoch = False, False, 0
        self.sure_until, self.ready_at = -1, 0
        self.force: Version | None = None
        self.prepared: Version | None = None
        self.keeping: Version | None = None
        self.kept_at = 0  # when the store was asked to keep it, last
        self.pending: Propose | None = None  # waits for the one in preparation
        self.number = 0  # of the newest version known of
        self.peers: dict[FollowerId, Peer] = {}
        self.roll = Roll()
        self.excluded: set[FollowerId] = set()
        self.history: deque[Line] = deque(maxlen=MOST_VERSIONS)
        self.unknown = NOTHING  # what a follower holds and this one does not
        self.full = False
        self.strange = 0  # the highest epoch that cannot be

    @property
    def state(self) -> State:
        if not self.leading:
            return State.IDLE
        if self.keeping is not None:
            return State.KEEPING
        return State.PREPARING if self.prepared is not None else State.STEADY

    def view(self, now: int) -> IssuerView:
        """For the operator."""
        newest = self._newest()
        peers = tuple(
            PeerView(
                name,
                p.acked,
                p.force,
                max(0, p.until - now),
                now - p.heard_at,
                self._apart(now, p, newest),
                name in self.excluded,
                p.refused,
                p.heard,
            )
            for name, p in sorted(self.peers.items())
        )
        return IssuerView(
            self._sure(now),
            self.epoch,
            self.force.id if self.force else NOTHING,
            self.prepared.id if self.prepared else NOTHING,
            max(0, self.ready_at - now),
            peers,
            tuple(self.history),
        )

    def handle(self, now: int, event: IssuerEvent) -> list[IssuerAction]:
        if isinstance(event, From):
            return self._from(now, event.follower, event.message) if self.leading else []
        if isinstance(event, Leading):
            return self._lead(now, event)
        if isinstance(event, StillLeading):
            if self.leading and event.epoch == self.epoch:
                self.sure_until = max(self.sure_until, event.until_us)
            return self._pulse(now)
        if isinstance(event, Deposed):
            return self._depose("another leads") if self.leading else []
        if isinstance(event, Propose):
            return self._propose(now, event)
        if isinstance(event, Kept):
            return self._kept(now, event.id)
        if isinstance(event, Unkept):
            return []  # it is tried again on a pulse
        if isinstance(event, RollKept):
            return self._roll_kept(now, event)
        if isinstance(event, Exclude):
            self.excluded.add(event.follower)
            return self._settle(now)
        if isinstance(event, Include):
            self.excluded.discard(event.follower)
            return []
        return self._pulse(now)

    # Leadership

    def _sure(self, now: int) -> bool:
        return self.leading and now < self.sure_until

    def _lead(self, now: int, event: Leading) -> list[IssuerAction]:
        if event.epoch <= self.epoch and self.epoch:
            return [
                Reported(
                    Word.DECLINED,
                    NOTHING,
                    text=f"epoch {event.epoch} is not after {self.epoch}: "
                    "the store is an older one; raise its epoch",
                )
            ]
        self.leading, self.alone, self.epoch = True, False, event.epoch
        self.sure_until, self.ready_at = event.until_us, now + self._wait_us()
        self.force, self.prepared, self.keeping = event.book.force, None, None
        self._take_roll(now, event)
        newest = event.book.prepared or event.book.force
        self.number = max(self.number, newest.id.number if newest is not None else 0)
        out: list[IssuerAction] = [
            Reported(Word.LEADING, newest.id if newest is not None else NOTHING, text=f"epoch {self.epoch}")
        ]
        return out + (self._make(now, newest.contents, newest.meant) if newest is not None else [])

    def _take_roll(self, now: int, event: Leading) -> None:
        """Whoever is on it may have a lease of a predecessor's, for as long as a new leader waits."""
        self.roll.begin(event.roll)
        for name in sorted(event.roll)[:MOST_FOLLOWERS]:
            if name not in self.peers:
                peer = self.peers[name] = Peer()
                peer.heard_at, peer.until = now, self.ready_at

    def _enrol(self, now: int) -> list[IssuerAction]:
        """The store is to hold who follows, before any of them has a lease."""
        if not self._sure(now):
            return []
        return list(self.roll.write(now, self.epoch, frozenset(self.peers), self.timing.renew_us))

    def _roll_kept(self, now: int, event: RollKept) -> list[IssuerAction]:
        """Those that the store holds only now got no lease for their last `Ask`: they are to ask again."""
        if not self.leading:
            return []
        new, force = self.roll.kept(event.number), self.force
        out: list[IssuerAction] = [
            To(name, InForce(self.epoch, force.id))
            for name in sorted(new)
            if force is not None and name in self.peers and self.peers[name].acked >= force.id
        ]
        return out + self._enrol(now)

    def _wait_us(self) -> int:
        """A new leader does not know what leases were given."""
        return self.timing.gone_us

    def _depose(self, why: str) -> list[IssuerAction]:
        self.leading, self.keeping, self.pending, self.sure_until = False, None, None, -1
        return [Reported(Word.DEPOSED, self._newest_id(), text=why)]

    def _outrun(self, now: int, name: FollowerId, epoch: int) -> list[IssuerAction]:
        """A follower has heard a higher epoch.  While leadership is sure there is none: the follower has the
        memory of another fleet, or the issuers' store is an older one.  It gets no lease."""
        if not self._sure(now):
            return self._depose(f"{name} has heard epoch {epoch}, this one is {self.epoch}")
        if epoch <= self.strange:
            return []
        self.strange = epoch
        return [
            Reported(
                Word.FENCED,
                NOTHING,
                name,
                f"it has heard epoch {epoch}, the store gave {self.epoch}: clear the "
                "follower's store if it is of another fleet, else raise the store's epoch",
            )
        ]

    # Versions

    def _newest(self) -> Version | None:
        return self.prepared or self.force

    def _newest_id(self) -> VersionId:
        newest = self._newest()
        return newest.id if newest is not None else NOTHING

    def _propose(self, now: int, event: Propose) -> list[IssuerAction]:
        if refusal := self._refusal(event.contents):
            return [Reported(Word.DECLINED, NOTHING, text=refusal)]
        if self.prepared is not None and not rules.exceeds(self.prepared.contents, event.contents):
            self.pending = event
            return []
        newest = self._newest()
        if newest is not None and newest.contents == event.contents and self.unknown <= newest.id:
            return [Reported(Word.DECLINED, newest.id, text="nothing changes")]
        out: list[IssuerAction] = []
        if self.prepared is not None:
            out.append(self._note(self.prepared.id, Word.SUPERSEDED, "a version that narrows further"))
        return out + self._make(now, event.contents, event.meant)

    def _make(self, now: int, contents: Contents, meant: str) -> list[IssuerAction]:
        """A new version, to all."""
        self.number += 1
        version = Version(VersionId(self.epoch, self.number), contents, meant)
        self.prepared, self.pending = version, None
        out: list[IssuerAction] = [self._keep(), self._note(version.id, Word.PREPARED, meant)]
        return out + self._prepare_all(now) + self._settle(now)

    def _refusal(self, contents: Contents) -> str:
        if not self.leading:
            return "this control service does not lead"
        if names := rules.unknown(contents):
            return f"settings: {names[0]} is not known: leave it out, or upgrade the control services"
        try:
            rules.check(contents)
            low = rules.below_floor(contents, self.floors)
        except rules.Unreadable as e:
            return f"settings: {e}"
        if low:
            return (
                f"settings: {low[0]} is below its floor: balancers that hear nothing would contradict "
                "it; lower the floor everywhere first, or raise the value"
            )
        return ""

    def _prepare_all(self, now: int) -> list[IssuerAction]:
        return [
            action
            for name, peer in self.peers.items()
            if peer.heard
            for action in self._prepare(now, name, peer)
        ]

    def _prepare(self, now: int, name: FollowerId, peer: Peer) -> list[IssuerAction]:
        """The newest version, unless it is on its way; to one who lags, the one in force before it: it gets
        no lease otherwise until the newest is in force."""
        newest, force = self._newest(), self.force
        if newest is None or peer.acked >= newest.id:
            return []
        if peer.sent == newest.id and now - peer.sent_at < self.timing.renew_us // 2:
            return []
        peer.sent, peer.sent_at = newest.id, now
        out: list[IssuerAction] = []
        if force is not None and peer.acked < force.id < newest.id:
            out.append(To(name, Prepare(self.epoch, force)))
        return [*out, To(name, Prepare(self.epoch, newest))]

    def _note(self, id: VersionId, word: Word, text: str) -> Reported:
        self.history.append(Line(id, word, text[:REASON_MOST]))
        return Reported(word, id, text=text[:REASON_MOST])

    def _settle(self, now: int) -> list[IssuerAction]:
        """Into the store as in force, once nobody can use what it takes away."""
        if self.prepared is None or self.keeping is not None or not self._sure(now) or now < self.ready_at:
            return []
        if any(self.holds_up(now, peer, self.prepared.id) for peer in self.peers.values()):
            return []
        self.keeping, self.kept_at = self.prepared, now
        return [self._keep()]

    def _keep(self) -> Keep:
        """All that the store is to hold.  What may be there as in force stays so."""
        force = self.keeping or self.force
        newer = self.prepared if self.prepared is not self.keeping else None
        return Keep(self.epoch, Book(force, newer))

    def holds_up(self, now: int, peer: Peer, id: VersionId) -> bool:
        return peer.acked != id and now < peer.until  # one it does not know of says nothing about this

    def _kept(self, now: int, id: VersionId) -> list[IssuerAction]:
        if not self.leading or self.keeping is None or id != self.keeping.id:
            return []
        self.force, self.keeping = self.keeping, None
        if self.prepared is not None and self.prepared.id == id:
            self.prepared = None
        apart = [name for name, peer in self.peers.items() if peer.acked < id]
        text = f"acknowledged by {len(self.peers) - len(apart)} of {len(self.peers)}"
        if apart:
            more = f" and {len(apart) - NAMES_MOST} more" if len(apart) > NAMES_MOST else ""
            text += f"; its drains do not reach {', '.join(apart[:NAMES_MOST])}{more}"
        out: list[IssuerAction] = [self._note(id, Word.IN_FORCE, text)]
        out += [To(name, InForce(self.epoch, id)) for name in self.peers]
        return out + self._next(now)

    def _next(self, now: int) -> list[IssuerAction]:
        """The proposal that has waited."""
        pending, self.pending = self.pending, None
        return self._propose(now, pending) if pending is not None and self.prepared is None else []

    def _refused(self, now: int, name: FollowerId, peer: Peer, nack: Nack) -> list[IssuerAction]:
        peer.refused = f"{nack.id}: {nack.reason}"[:REASON_MOST]
        out: list[IssuerAction] = [Reported(Word.REFUSED, nack.id, name, nack.reason[:REASON_MOST])]
        if (
            self.prepared is None
            or nack.id != self.prepared.id
            or name in self.excluded
            or self.keeping is not None
            and self.keeping.id == nack.id
        ):
            return out  # it is left behind, and shows as apart
        if self.force is not None and self.prepared.contents == self.force.contents:
            return out  # nothing is newer that could be gone back to
        reason = f"{name}: {nack.reason}"
        self._note(nack.id, Word.REFUSED, reason)
        self.prepared = None
        out += [To(other, Withdrawn(self.epoch, nack.id, reason[:REASON_MOST])) for other in self.peers]
        out += self._next(now)
        if self.prepared is None and self.force is not None:
            out += self._make(now, self.force.contents, f"version {nack.id} is withdrawn")
        elif self.prepared is None:
            out.append(self._keep())
        return out

    # Followers

    def _from(self, now: int, name: FollowerId, message: FromFollower) -> list[IssuerAction]:
        if isinstance(message, Fenced | Ask) and message.epoch > self.epoch:
            return self._outrun(now, name, message.epoch)
        peer = self.peers.get(name)
        if peer is None:
            if len(self.peers) >= MOST_FOLLOWERS:
                full, self.full = self.full, True
                return (
                    []
                    if full
                    else [
                        Reported(
                            Word.FULL,
                            NOTHING,
                            name,
                            f"{MOST_FOLLOWERS} followers: no lease for more; they serve at their floors",
                        )
                    ]
                )
            peer = self.peers[name] = Peer()
        peer.heard, peer.heard_at = True, now
        out = self._enrol(now) if name not in self.roll.held else []
        if isinstance(message, Ask):
            return out + self._asked(now, name, peer, message)
        if isinstance(message, Nack):
            return out + self._refused(now, name, peer, message)
        if isinstance(message, Ack):
            return out + self._acked(now, name, peer, message.id)
        return out

    def _acked(self, now: int, name: FollowerId, peer: Peer, id: VersionId) -> list[IssuerAction]:
        if id <= peer.acked:
            return []
        peer.acked, peer.refused = id, ""
        out: list[IssuerAction] = []
        if self.force is not None and id == self.force.id:
            out.append(To(name, InForce(self.epoch, id)))
        return out + self._prepare(now, name, peer) + self._settle(now)

    def _asked(self, now: int, name: FollowerId, peer: Peer, ask: Ask) -> list[IssuerAction]:
        if ask.life == peer.life and ask.number < peer.number:
            return []  # overtaken by a later one of the same life
        peer.life, peer.number, peer.force = ask.life, ask.number, ask.force
        lost = ask.told < peer.acked
        peer.acked = ask.told  # less than before: its store is another
        out = self._back(now, name, peer)
        newest = self._newest_id()
        if ask.told > newest and ask.told > self.unknown:
            self.unknown = ask.told
            self.number = max(self.number, ask.told.number)
            out.append(
                Reported(
                    Word.UNKNOWN,
                    ask.told,
                    name,
                    "holds a version that the store does not have: propose anew to take its place",
                )
            )
        if self._may_lease(now, name, ask, newest):
            assert self.force is not None
            peer.until = max(peer.until, now + self.timing.gone_us)
            out.append(To(name, Lease(self.epoch, self.force.id, ask.life, ask.number, self.timing.lease_us)))
        elif ask.told < newest:
            if lost:
                peer.sent = NOTHING
            out += self._prepare(now, name, peer)
        if self.force is not None and ask.force < self.force.id < ask.told:
            out.append(To(name, InForce(self.epoch, self.force.id)))
        return out + self._settle(now)

    def _may_lease(self, now: int, name: FollowerId, ask: Ask, newest: VersionId) -> bool:
        """Does all that it uses lie within the version in force, and within the one in preparation?"""
        if not self._sure(now) or self.force is None or name in self.excluded:
            return False
        if name not in self.roll.held:
            return False  # a later leader would not know of it
        if self.keeping is not None and self.keeping.id != newest:
            return False  # which one is in force is not known
        keeps = self.force.id in (ask.force, ask.told)
        return keeps and (self.prepared is None or ask.told == newest)

    def _apart(self, now: int, peer: Peer, newest: Version | None) -> bool:
        return newest is not None and peer.acked < newest.id and now >= peer.until

    def _back(self, now: int, name: FollowerId, peer: Peer) -> list[IssuerAction]:
        if not peer.apart or self._apart(now, peer, self._newest()):
            return []
        peer.apart = False
        return [Reported(Word.BACK, peer.acked, name)]

    # Time

    def _pulse(self, now: int) -> list[IssuerAction]:
        if not self.leading:
            return []
        out: list[IssuerAction] = []
        if self.alone is self._sure(now):
            self.alone = not self.alone
            out.append(
                Reported(
                    Word.ALONE if self.alone else Word.LEADING,
                    self._newest_id(),
                    text="the store does not answer" if self.alone else f"epoch {self.epoch}",
                )
            )
        newest = self._newest()
        for name, peer in list(self.peers.items()):
            if now - peer.heard_at > FORGET_US and now >= peer.until:
                del self.peers[name]
                self.full = False
                out.append(Reported(Word.FORGOTTEN, peer.acked, name))
            elif not peer.apart and self._apart(now, peer, newest):
                peer.apart = True
                out.append(
                    Reported(
                        Word.APART,
                        peer.acked,
                        name,
                        "has not acknowledged the newest version and has no lease: drains do not reach it",
                    )
                )
        if self.keeping is not None and self._sure(now) and now - self.kept_at >= self.timing.renew_us:
            self.kept_at = now
            out.append(self._keep())
        return out + self._enrol(now) + self._settle(now)


__all__ = ["FORGET_US", "MOST_FOLLOWERS", "MOST_VERSIONS", "Issuer", "Peer", "State", "FromIssuer"]

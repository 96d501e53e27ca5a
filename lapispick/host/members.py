"""The peer of the other worker hosts: their words as datagrams, whole views over streams, turns for operators' calls.

It decides nothing: what is said, believed and granted stands in ``members/``. Nothing that serves requests waits for
it. Imported only where the settings switch it on. A process that comes beside an old one of its box talks once that one
has ended, for the address is the box's.
"""

from __future__ import annotations

import errno
import logging
import random
import socket
import time
from collections import deque
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec

from lapispick import atomic_files, jitter
from lapispick.admission import Outcome
from lapispick.conf.settings import Inventory as Listing
from lapispick.conf.settings import Members as Settings
from lapispick.digests import blake2b
from lapispick.fleet import hosts
from lapispick.fleet.hosts import Worker
from lapispick.fleet.snapshot import Difference, Snapshot
from lapispick.host import events
from lapispick.host.dns_resolver import Names, NoAddress
from lapispick.host.inventory import Inventory
from lapispick.host.logs import log
from lapispick.host.scheduler import READ, Closed, Loop, Overlong, Stream, address, connect
from lapispick.host.worker_threads import Work
from lapispick.members import leases, membership_view, messages, stores
from lapispick.members.member import Bounds, Node
from lapispick.members.membership_view import Send, State

LOG = "members"
LIFE = "life"  # the file in the state folder
BIND_S = 0.3  # s between two tries to take the address that another process of this box has
TICK_S = (0.005, 0.1)  # s; shortest and longest between two looks at what is due
FACTS_S = 1.0  # s between two looks at what this box tells of itself
STREAM_S = 3.0  # s; for a whole view to come or go
STREAMS_MOST = 4  # at once, of those who connect
BURST = 64  # datagrams that are read before others have their turn
RECORD = 400  # bytes of a member in a whole view, with its facts
CAUSES = 8  # changes of a member that are remembered
LISTED_MOST = 300  # members that one answer to operators names, beside those that are not alive

Facts = Callable[[], Iterable[tuple[str, str, float, int, str]]]  # kind, subject, value, count, text


class Seen(msgspec.Struct):
    """A member as operators are told of it."""

    name: str
    state: str
    incarnation: int
    life: int
    at: str


class Told(msgspec.Struct):
    """The view as operators are told of it."""

    name: str
    life: int
    incarnation: int
    health: int
    list: str
    size: int
    seen: int
    majority: bool
    replaced: bool
    members: list[Seen]
    facts: list[messages.Fact]
    dropped: dict[str, int]
    sent: int
    received: int


class Turn(msgspec.Struct):
    """A turn as operators are told of it. ``fence`` 0: it waits, or a voter has granted it to somebody else."""

    slot: str
    owner: str
    fence: int
    left: float
    granted_to: str = ""
    waiting: list[str] = []


def bounds(told: Settings) -> Bounds:
    """Return the times that the settings say."""
    return Bounds(
        membership_view.Bounds(
            told.period, told.timeout, told.helpers, float(told.suspicion), joining=max(10.0, 10 * told.period)
        ),
        leases.Bounds(
            told.lease, told.drift, told.answer, min(0.5, told.answer / 2), told.lists, max(5.0, 4 * told.answer)
        ),
        keep=told.keep,
    )


class Watched:
    """Passes the ends of calls on, and notes what they say of the store."""

    def __init__(self, post: Callable[[Any], None]) -> None:
        self._post, self._store = post, stores.Store()

    def post(self, item: Any) -> None:
        """Take what the store's client tells the core."""
        if isinstance(item, events.CallCompleted):
            self._store.took(time.monotonic(), item.duration_ms, item.outcome is Outcome.OK)
        self._post(item)

    def fact(self) -> tuple[float, int] | None:
        """Return how many times as long as usual calls take, and on how many that rests."""
        return self._store.fact(time.monotonic())


class Members:
    """The other worker hosts of the list, as far as this one hears them."""

    def __init__(
        self, loop: Loop, settings: Settings, listing: Listing, name: str, seed: int, facts: Facts, most: int
    ) -> None:
        """``most``: bytes of a whole view at most. Raises ``OSError`` and ``ValueError`` for a faulty address."""
        self._loop, self.settings, self.name, self._facts, self._most = loop, settings, name, facts, most
        self._listen = address(settings.listen)
        self.node: Node | None = None
        self._life = 0
        self._rng = random.Random(seed)
        self._work = Work(loop)
        self._names = Names(loop, listing.names_timeout, Path(listing.names_file) if listing.names_file else None)
        self._inventory = Inventory(loop, listing, hosts.SCHEMA, self._listed)
        self._accepted: tuple[tuple[str, ...], str] | None = None
        self._workers: dict[str, Worker] = {}
        self._at: dict[str, tuple[str, int]] = {}
        self._rates: dict[str, tuple[int, int]] = {}  # name -> second, words in it
        self._why: dict[str, deque[tuple[float, str, str]]] = {}
        self._sock: socket.socket | None = None
        self._streams, self._told = 0, (-1, -1)
        self._dropped: dict[str, int] = {}
        self._sent = self._received = 0
        self._left = False

    def serve(self) -> None:
        """Take the address, then follow the list and talk, for ever."""
        self._life = self._work.do(self._counted)
        self._loop.spawn(self._inventory.serve)
        while not self._bind():
            self._loop.sleep(BIND_S)
        for task in (self._receive, self._accept, self._tick, self._sync, self._tell_facts):
            self._loop.spawn(task)
        log(LOG, logging.INFO, "members-on", listen=self.settings.listen, life=self._life)

    def _counted(self) -> int:
        """Return this life's number; in a thread. Without a disk it is the time, which others may know better."""
        folder, number = self.settings.state_folder, 0
        if folder is not None:
            path = Path(folder) / LIFE
            try:
                number = int(path.read_text())
            except FileNotFoundError:
                pass
            except (OSError, ValueError) as err:
                log(LOG, logging.ERROR, "life-unreadable", file=path, error=err)
        number = min(max(number + 1, int(time.time())), messages.LIFE_MOST >> 1)
        if folder is not None:
            try:
                Path(folder).mkdir(parents=True, exist_ok=True)
                atomic_files.replace(Path(folder) / LIFE, str(number).encode())
            except OSError as err:
                log(LOG, logging.ERROR, "life-not-kept", file=folder, error=err)
        return number

    def _bind(self) -> bool:
        family = socket.AF_INET6 if ":" in self._listen[0] else socket.AF_INET
        heard, streams = socket.socket(family, socket.SOCK_DGRAM), socket.socket(family, socket.SOCK_STREAM)
        try:
            streams.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            for each in (heard, streams):
                each.setblocking(False)
                each.bind(self._listen)
            streams.listen(16)
        except OSError as err:
            heard.close()
            streams.close()
            if err.errno != errno.EADDRINUSE:
                log(LOG, logging.ERROR, "members-address", listen=self.settings.listen, error=err)
                self._loop.sleep(2.0)
            return False
        self._sock, self._listener = heard, streams
        return True

    # The list.

    def _listed(self, snapshot: Snapshot, _diff: Difference) -> None:
        found, faults = hosts.workers(snapshot.boxes.values())
        for fault in faults[:4]:
            log(LOG, logging.ERROR, "members-list", fault=fault)
        self._workers = {each.name: each for each in found if each.members}
        names = tuple(sorted(self._workers))
        if self.name not in self._workers:
            log(LOG, logging.WARNING, "members-not-listed", name=self.name, boxes=len(names))
        # What counts for majorities is who the members are, not where: boxes may reach each other by other addresses.
        digest = blake2b("\n".join(names).encode(), digest_size=6).hexdigest()
        self._accepted = names, digest
        now = time.monotonic()
        if self.node is not None:
            self.node.listed(names, digest, now)
        self._loop.spawn(self._find)
        for table in (self._why, self._rates):  # names of boxes that are replaced for ever add up
            for gone in table.keys() - self._workers.keys():
                del table[gone]

    def _find(self) -> None:
        """Look up where the others are; a name without address costs its box only."""
        for name, worker in list(self._workers.items()):
            host, _, port = worker.members.rpartition(":")
            try:
                self._at[name] = (self._names.lookup(host.strip("[]"))[0], int(port))
            except NoAddress as err:
                log(LOG, logging.WARNING, "member-not-found", name=name, error=err)
        for gone in self._at.keys() - self._workers.keys():
            del self._at[gone]

    def _begun(self) -> Node | None:
        """Return the member, which begins with the first list that names this box."""
        if self.node is None and self._accepted is not None and self.name in self._workers:
            names, digest = self._accepted
            kinds = {name: int(most) for name, _, most in (each.partition(":") for each in self.settings.turns)}
            self.node = Node(
                self.name,
                self.settings.name,
                self._life,
                names,
                digest,
                kinds,
                bounds(self.settings),
                self._rng,
                time.monotonic(),
            )
        return self.node

    # Words.

    def _receive(self) -> None:
        assert self._sock is not None
        while True:
            if not self._loop.wait(self._sock.fileno(), READ):
                continue
            for _ in range(BURST):
                try:
                    data, at = self._sock.recvfrom(messages.LONGEST + 1)
                except BlockingIOError:
                    break
                except OSError:  # somebody before was not there; the system tells it here
                    continue
                self._received += 1
                self._heard(data, (at[0], at[1]))
            self._loop.give_way()

    def _heard(self, data: bytes, at: tuple[str, int]) -> None:
        node = self._begun()
        if node is None or self._left:
            return
        word = self._read(data)
        if word is None or isinstance(word, messages.Whole):
            return self._drop("nonsense")
        if self._at.get(word.sender) != at:
            return self._drop("not from its address")
        if not self._within(word.sender):
            return self._drop("too many")
        now = time.monotonic()
        self._send(node.take(now, word))
        self._news(node, now)

    def _read(self, data: bytes) -> messages.Word | None:
        try:
            word: messages.Word = messages.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return None
        return word

    def _within(self, name: str) -> bool:
        """Tell whether a member keeps to its rate; one that floods is not heard, and costs itself only."""
        second = int(time.monotonic())
        began, count = self._rates.get(name, (second, 0))
        count = count + 1 if began == second else 1
        self._rates[name] = (second, count)
        return count <= self.settings.rate

    def _drop(self, why: str) -> None:
        self._dropped[why] = self._dropped.get(why, 0) + 1

    def _send(self, sends: Iterable[Send]) -> None:
        assert self._sock is not None
        for to, word in sends:
            if (at := self._at.get(to)) is None:
                continue
            try:
                self._sock.sendto(messages.datagram(word), at)
                self._sent += 1
            except OSError as err:  # full buffers, no route: as if it was lost on the way
                log(LOG, logging.DEBUG, "word-not-sent", to=to, error=err)

    def _tick(self) -> None:
        while True:
            node, now = self._begun(), time.monotonic()
            if node is None or self._left:
                self._loop.sleep(TICK_S[1])
                continue
            self._send(node.tick(now))
            self._news(node, now)
            self._loop.sleep(min(TICK_S[1], max(TICK_S[0], node.due() - time.monotonic())))

    # Whole views.

    def _sync(self) -> None:
        """Exchange whole views with somebody now and then, and soon after the start."""
        every = self.settings.sync
        wait = min(1.0, every / 4) * (0.5 + self._rng.random())
        while True:
            self._loop.sleep(wait)
            wait = jitter.period(every, self._rng.random())
            node = self.node
            if node is None or self._left or node.view.replaced:
                continue
            alive = [name for name in node.view.alive() if name in self._at]
            if not alive:
                continue
            name = self._rng.choice(alive)
            try:
                self._exchange(node, name)
            except (OSError, Closed, Overlong) as err:
                log(LOG, logging.DEBUG, "sync-failed", name=name, error=err)

    def _exchange(self, node: Node, name: str) -> None:
        stream = connect(self._loop, self._at[name], STREAM_S, longest=self._most, out_most=self._most)
        try:
            stream.write(messages.encode(node.whole(time.monotonic())) + b"\n")
            self._merge(node, stream.read_line(STREAM_S), self._at[name][0])
        finally:
            stream.close()

    def _merge(self, node: Node, line: bytes | None, ip: str) -> bool:
        word = self._read(line) if line else None
        if not isinstance(word, messages.Whole) or self._at.get(word.sender, ("",))[0] != ip:
            self._drop("nonsense")
            return False
        now = time.monotonic()
        good = node.merge(now, word)
        self._news(node, now)
        return good

    def _accept(self) -> None:
        while True:
            if not self._loop.wait(self._listener.fileno(), READ):
                continue
            try:
                sock, at = self._listener.accept()
            except OSError:
                self._loop.sleep(0.01)
                continue
            if self._streams >= STREAMS_MOST or at[0] not in {ip for ip, _ in self._at.values()}:
                sock.close()
                self._drop("stream refused")
                continue
            self._streams += 1
            self._loop.spawn(self._answer, Stream(self._loop, sock, self._most, self._most), at[0])

    def _answer(self, stream: Stream, ip: str) -> None:
        watch = self._loop.later(STREAM_S, stream.close)
        try:
            line, node = stream.read_line(), self.node
            if node is not None and not stream.closed and self._merge(node, line, ip):
                stream.write(messages.encode(node.whole(time.monotonic(), answer=True)) + b"\n")
                while stream.unsent and not stream.closed:
                    self._loop.sleep(0.01)
        except (Overlong, OSError):
            self._drop("nonsense")
        finally:
            watch.cancel()
            self._streams -= 1
            stream.finish()

    # What others are told of this box, and what is told of them.

    def _tell_facts(self) -> None:
        while True:
            self._loop.sleep(jitter.period(FACTS_S, self._rng.random()))
            if self.node is not None and not self._left:
                now = time.monotonic()
                for kind, subject, value, count, text in self._facts():
                    self.node.say(now, kind, subject[: messages.TEXT_MOST], value, count, text[: messages.TEXT_MOST])

    def _news(self, node: Node, now: float) -> None:
        for change in node.changes():
            self._why.setdefault(change.name, deque(maxlen=CAUSES)).append(
                (time.time(), membership_view.WORDS[change.state], change.cause)
            )
            log(
                LOG,
                logging.INFO,
                "member-" + ("returned" if change.returned else membership_view.WORDS[change.state]),
                name=change.name,
                cause=change.cause or "unknown",
            )
        for event in node.events():
            log(
                LOG,
                logging.DEBUG if event.what == "renewed" else logging.INFO,
                f"turn-{event.what}",
                slot=event.slot,
                fence=event.fence,
                owner=event.owner or "none",
                left=f"{event.until - now:.3f}",
            )
        told = (node.view.seen(), node.view.size())
        if told != self._told:
            self._told = told
            log(LOG, logging.INFO, "members-seen", seen=told[0], of=told[1], majority=node.view.majority())
        if node.view.replaced and not self._left:
            self._left = True
            log(LOG, logging.WARNING, "member-replaced", life=node.life)

    def leave(self) -> None:
        """Say that this box leaves. Its turns run out or their owners give them back, who may act under them still."""
        node = self.node
        if node is None or self._left:
            return
        self._send(node.view.leave())
        self._news(node, time.monotonic())
        self._left = True
        log(LOG, logging.INFO, "members-left")

    # Operators' calls.

    def calls(self) -> dict[str, Callable[[], list[str]]]:
        """Return the calls that have no words behind them."""
        return {"members": self._shown, "turns": self._turns}

    def call(self, line: str) -> list[str]:
        """Take a call with words: ``why NAME``, ``want TURN OWNER [PRIORITY]``, ``done TURN OWNER``."""
        word, *rest = line.split()
        node, now = self.node, time.monotonic()
        if word == "why" and len(rest) == 1:
            return self._because(rest[0])
        if word not in ("want", "done") or not 2 <= len(rest) <= 3:
            return ["ERR unknown call; there are members, turns, why NAME, want TURN OWNER [PRIORITY], done TURN OWNER"]
        if node is not None and word == "done":  # also while leaving
            self._send(node.done(now, rest[0], rest[1]))
            self._news(node, now)
            return ["OK"]
        if node is None or self._left:
            return ["ERR this box is no member: " + ("it left" if self._left else "no list names it so far")]
        if len(rest) == 3 and not (rest[2].isdecimal() and len(rest[2]) < 3):
            return ["ERR a priority is a number from 0 to 99"]
        held = node.want(now, rest[0], rest[1], int(rest[2]) if len(rest) == 3 else 0)
        if held is None:
            return [f"ERR no turn {rest[0]}, or too many are wanted; there are {', '.join(node.kinds)}"]
        if held.fence:
            return [f"OK held {held.slot} {held.fence} {held.left:.3f}"]
        return [f"OK waiting {held.slot} {'yes' if node.view.majority() else 'no-majority'}"]

    def _shown(self) -> list[str]:
        node = self.node
        if node is None:
            return ["ERR no list names this box so far"]
        shown = node.view
        names = sorted(shown.names - {self.name})
        if len(names) > LISTED_MOST:
            names = [name for name in names if shown.state(name) is not State.ALIVE][:LISTED_MOST]
        seen = [
            Seen(name, membership_view.WORDS[held.state], held.incarnation, held.life, self._workers[name].members)
            for name in names
            if name in self._workers and (held := shown.held(name))
        ]
        facts = sorted(node.signals.all(time.monotonic()), key=lambda f: (f.kind, f.subject, f.author))
        told = Told(
            node.name,
            node.life,
            shown.incarnation,
            shown.health,
            shown.digest,
            shown.size(),
            shown.seen(),
            shown.majority(),
            shown.replaced,
            seen,
            facts[:LISTED_MOST],
            {**shown.dropped, **self._dropped},
            self._sent,
            self._received,
        )
        return ["OK", msgspec.json.encode(told).decode()]

    def _turns(self) -> list[str]:
        node, now = self.node, time.monotonic()
        if node is None:
            return ["ERR no list names this box so far"]
        made = [Turn(held.slot, owner, held.fence, held.left) for owner, held in node.turns(now)]
        for slot, (ballot, left) in sorted(node.voter.held(now).items()):
            made.append(Turn(slot, "", ballot.number, left, ballot.name, node.voter.waiting(slot)))
        return ["OK", msgspec.json.encode(made).decode()]

    def _because(self, name: str) -> list[str]:
        node = self.node
        state = node.view.state(name) if node is not None else None
        if node is None or state is None:
            return [f"ERR {name} is not on the list"]
        told: dict[str, Any] = {
            "name": name,
            "state": membership_view.WORDS[state],
            "changes": [list(each) for each in self._why.get(name, ())],
        }
        return ["OK", msgspec.json.encode(told).decode()]

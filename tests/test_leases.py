"""When a worker's lease is over by the books, it is over at the worker: every order of lost
answers, an older leader that feeds on, a node beyond a cut, direct answers and new sessions.

A plain worker beside the ledger, seeded; after each step, whatever the ledger has counted as
gone must be gone.
"""

from __future__ import annotations

import random
from collections import Counter

import pytest

from dunehold.bookkeeping.hosts import Host, ReportOutcome
from dunehold.bookkeeping.ledger import RELAY_EXPIRY_S, Ledger
from dunehold.bookkeeping.records import RelayRecord
from dunehold.protocol.workers import Report
from dunehold.types import MonotonicTime, NodeId, Token
from tests.test_ledger import HOST, LEASE_S, ZONE, make_ledger, report

OLD_TOKEN, NEW_TOKEN = 6, 7
FEED_LIMIT_S = 20.0  # of make_ledger; the leader before had its last proof before the takeover


class TakeoverSimulation:
    """One machine that held a task as the leader changed, and those who talk with it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.ledger, self.host, _ = make_ledger()
        self.now = 0.0
        self.token, self.session, self.sequence = OLD_TOKEN, 1, 10
        self.lease_from = -self.rng.uniform(0.0, 4.0)
        self.task_session = 1  # the session that the task of before lives in
        self.old_leader_until = FEED_LIMIT_S * self.rng.random()
        self.cut_until = self.rng.choice([0.0, 0.0, self.rng.uniform(5.0, 60.0)])
        self.reports_lost_until = 0.0  # its reports reach nobody; direct commands reach it
        self.counts: Counter[str] = Counter()

    @property
    def task_alive(self) -> bool:
        return self.session == self.task_session

    def start_session_if_expired(self) -> None:
        if self.now > self.lease_from + LEASE_S:
            self.session += 1
            self.lease_from = self.now
            self.counts["sessions"] += 1

    def next_report(self) -> Report:
        self.sequence += 1
        return report(self.session, self.sequence, token=self.token)

    def receive_response(self, sent: float, session: int, token: int) -> None:
        """An answer arrives, in time."""
        if token >= self.token and session == self.session:
            self.token = token
            self.lease_from = max(self.lease_from, sent)

    def step(self) -> None:
        self.now += self.rng.choice([0.05, 0.5, 1.0, 2.5])
        self.start_session_if_expired()
        what = self.rng.choice(["report", "report", "direct", "nothing"])
        if what == "direct" and self.rng.random() < 0.3:
            self.send_direct_command()
            if self.rng.random() < 0.5:
                self.reports_lost_until = self.now + 20.0
        elif what == "report" and self.now >= self.reports_lost_until:
            sent, session, message = self.now, self.session, self.next_report()
            to = self.rng.choice(["ours", "ours", "old", "relay"])
            heard = self.rng.random() < 0.6
            if to == "old" and self.now < self.old_leader_until:
                if heard:
                    self.counts["fed by the old"] += self.token == OLD_TOKEN
                    self.receive_response(sent, session, OLD_TOKEN)
            elif to == "relay" and self.now < self.cut_until:
                self.receive_response(sent, session, NEW_TOKEN)
                self.counts["fed beyond the cut"] += 1
            elif to == "ours":
                self.report_to_new_leader(message)
                self.counts["lost answers"] += not heard
                if heard and message.session > self.host.expired_session:
                    self.receive_response(sent, session, NEW_TOKEN)
        self.expire()

    def report_to_new_leader(self, message: Report) -> None:
        """As ``Leader.handle_report`` does."""
        if message.session <= self.host.expired_session:
            return
        self.ledger.ingest(message, MonotonicTime(self.now))
        self.host.lease_renewed_at = MonotonicTime(self.now)

    def send_direct_command(self) -> None:
        """A command reaches the worker; its answer may be lost, or be the first we hear."""
        self.token = NEW_TOKEN
        answer = self.next_report()
        if self.rng.random() < 0.6:
            self.counts["direct answers"] += 1
            self.ledger.ingest(answer, MonotonicTime(self.now), direct=True)

    def expire(self) -> None:
        relays = self.ledger.view.relays
        if self.now < self.cut_until:
            relays[NodeId("n2")] = RelayRecord(ZONE, Token(NEW_TOKEN))
        elif relays.pop(NodeId("n2"), None) is not None:
            self.ledger.view.relay_changes[ZONE] = 1
        self.ledger.update_relays(MonotonicTime(self.now))
        self.ledger.expire_leases(MonotonicTime(self.now))
        # What the worker does by itself just now it does first.
        self.start_session_if_expired()
        if self.host.fenced or (
            not self.ledger.unreconciled.hosts and not self.host.session_known
        ):
            self.counts["fenced"] += 1
            assert not self.task_alive, f"fenced at {self.now:.2f}, {self.counts}"


def simulate_takeovers(seeds: range) -> Counter[str]:
    met: Counter[str] = Counter()
    for seed in seeds:
        meeting = TakeoverSimulation(seed)
        for _ in range(80):
            meeting.step()
        met += meeting.counts
    return met


def test_no_lease_is_counted_out_while_anybody_may_have_renewed_it() -> None:
    """The suspicion was that a direct answer in a session that is known leaves
    ``lease_renewed_at`` where a lost answer put it, and the leader before fed the worker later.
    It is refuted: a session
    is known only by a message with our own token, which the older leader can't feed; the first
    such message begins the lease anew (``Ledger.ingest``)."""
    met = simulate_takeovers(range(600))
    for kind in ("fed by the old", "fed beyond the cut", "lost answers", "direct answers"):
        assert met[kind] > 50, met
    assert met["fenced"] > 50 and met["sessions"] > 50


def test_a_first_direct_answer_that_begins_no_lease_ends_one_too_early(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ingest = Ledger.ingest

    def as_it_was(
        self: Ledger, message: Report, now: MonotonicTime, direct: bool = False
    ) -> ReportOutcome:
        host: Host = self.hosts[HOST]
        fed_at = host.lease_renewed_at
        outcome = ingest(self, message, now, direct)
        if direct and fed_at is not None:
            host.lease_renewed_at = fed_at
        return outcome

    monkeypatch.setattr(Ledger, "ingest", as_it_was)
    with pytest.raises(AssertionError, match="fenced"):
        simulate_takeovers(range(600))


def test_a_lease_beyond_a_cut_that_is_not_counted_ends_too_early(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert RELAY_EXPIRY_S > 2.0
    monkeypatch.setattr(Ledger, "update_relays", lambda self, now: None)
    with pytest.raises(AssertionError, match="fenced"):
        simulate_takeovers(range(600))

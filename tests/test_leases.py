"""When the ledger takes a worker's lease for expired, it has expired at the worker.

A simple model of a worker runs beside the ledger, in random orders of lost responses, renewals
by the previous leader and by a relay beyond a partition, direct commands and new sessions.
After each step, a lease that the ledger counts as expired must have expired at the worker.
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
# As in make_ledger; the previous leader had its last proof before the takeover.
OLD_LEADER_RENEWAL_S = 20.0


class TakeoverSimulation:
    """One machine that runs a task during a takeover, and the nodes that talk to it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.ledger, self.host, _ = make_ledger()
        self.now = 0.0
        self.token, self.session, self.sequence = OLD_TOKEN, 1, 10
        self.lease_from = -self.rng.uniform(0.0, 4.0)
        self.task_session = 1  # the session of the task from before the takeover
        self.old_leader_until = OLD_LEADER_RENEWAL_S * self.rng.random()
        self.cut_until = self.rng.choice([0.0, 0.0, self.rng.uniform(5.0, 60.0)])
        self.reports_lost_until = 0.0  # reports are lost until then; direct commands arrive
        self.counts: Counter[str] = Counter()

    @property
    def task_alive(self) -> bool:
        return self.session == self.task_session

    def start_session_if_expired(self) -> None:
        """Start a new session, in which the worker has no tasks, if its lease has expired."""
        if self.now > self.lease_from + LEASE_S:
            self.session += 1
            self.lease_from = self.now
            self.counts["sessions"] += 1

    def next_report(self) -> Report:
        self.sequence += 1
        return report(self.session, self.sequence, token=self.token)

    def receive_response(self, sent: float, session: int, token: int) -> None:
        """Renew the worker's lease from the time at which its report was sent."""
        if token >= self.token and session == self.session:
            self.token = token
            self.lease_from = max(self.lease_from, sent)

    def step(self) -> None:
        self.now += self.rng.choice([0.05, 0.5, 1.0, 2.5])
        self.start_session_if_expired()
        event = self.rng.choice(["report", "report", "direct", "nothing"])
        if event == "direct" and self.rng.random() < 0.3:
            self.send_direct_command()
            if self.rng.random() < 0.5:
                self.reports_lost_until = self.now + 20.0
        elif event == "report" and self.now >= self.reports_lost_until:
            sent, session, message = self.now, self.session, self.next_report()
            recipient = self.rng.choice(["ours", "ours", "old", "relay"])
            response_arrives = self.rng.random() < 0.6
            if recipient == "old" and self.now < self.old_leader_until:
                if response_arrives:
                    self.counts["renewed by the old leader"] += self.token == OLD_TOKEN
                    self.receive_response(sent, session, OLD_TOKEN)
            elif recipient == "relay" and self.now < self.cut_until:
                self.receive_response(sent, session, NEW_TOKEN)
                self.counts["renewed by a relay"] += 1
            elif recipient == "ours":
                self.report_to_new_leader(message)
                self.counts["lost responses"] += not response_arrives
                if response_arrives and message.session > self.host.expired_session:
                    self.receive_response(sent, session, NEW_TOKEN)
        self.expire()

    def report_to_new_leader(self, message: Report) -> None:
        """Do what ``Leader.handle_report`` does."""
        if message.session <= self.host.expired_session:
            return
        self.ledger.ingest(message, MonotonicTime(self.now))
        self.host.lease_renewed_at = MonotonicTime(self.now)

    def send_direct_command(self) -> None:
        """Deliver a command to the worker.

        The response may be lost, or be the first message that the new leader gets from it.
        """
        self.token = NEW_TOKEN
        answer = self.next_report()
        if self.rng.random() < 0.6:
            self.counts["direct responses"] += 1
            self.ledger.ingest(answer, MonotonicTime(self.now), direct=True)

    def expire(self) -> None:
        """Expire leases in the ledger and check that the task has ended at the worker."""
        relays = self.ledger.view.relays
        if self.now < self.cut_until:
            relays[NodeId("n2")] = RelayRecord(ZONE, Token(NEW_TOKEN))
        elif relays.pop(NodeId("n2"), None) is not None:
            self.ledger.view.relay_changes[ZONE] = 1
        self.ledger.update_relays(MonotonicTime(self.now))
        self.ledger.expire_leases(MonotonicTime(self.now))
        # The worker acts on the expiry of its own lease first.
        self.start_session_if_expired()
        if self.host.fenced or (
            not self.ledger.unreconciled.hosts and not self.host.session_known
        ):
            self.counts["fenced"] += 1
            assert not self.task_alive, f"fenced at {self.now:.2f}, {self.counts}"


def simulate_takeovers(seeds: range) -> Counter[str]:
    """Run 80 steps with each seed and return the sums of the counts."""
    total: Counter[str] = Counter()
    for seed in seeds:
        simulation = TakeoverSimulation(seed)
        for _ in range(80):
            simulation.step()
        total += simulation.counts
    return total


def test_no_lease_expires_while_it_may_have_been_renewed() -> None:
    """A direct response in a known session does not move ``lease_renewed_at``.

    That is safe, although the previous leader may have renewed the lease later than a lost
    response did: a session is known only from a message with the new leader's token, after
    which the previous leader cannot renew the lease, and the first such message starts the
    lease anew (``Ledger.ingest``).
    """
    counts = simulate_takeovers(range(600))
    for kind in (
        "renewed by the old leader",
        "renewed by a relay",
        "lost responses",
        "direct responses",
    ):
        assert counts[kind] > 50, counts
    assert counts["fenced"] > 50 and counts["sessions"] > 50


def test_a_lease_expires_early_if_the_first_direct_response_does_not_start_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Patched out: a direct response in a new session starts the lease anew."""
    ingest = Ledger.ingest

    def ingest_without_new_lease(
        self: Ledger, message: Report, now: MonotonicTime, direct: bool = False
    ) -> ReportOutcome:
        host: Host = self.hosts[HOST]
        renewed_at = host.lease_renewed_at
        outcome = ingest(self, message, now, direct)
        if direct and renewed_at is not None:
            host.lease_renewed_at = renewed_at
        return outcome

    monkeypatch.setattr(Ledger, "ingest", ingest_without_new_lease)
    with pytest.raises(AssertionError, match="fenced"):
        simulate_takeovers(range(600))


def test_a_lease_expires_early_if_renewals_by_relays_are_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Patched out: the ledger's knowledge of relays."""
    assert RELAY_EXPIRY_S > 2.0
    monkeypatch.setattr(Ledger, "update_relays", lambda self, now: None)
    with pytest.raises(AssertionError, match="fenced"):
        simulate_takeovers(range(600))

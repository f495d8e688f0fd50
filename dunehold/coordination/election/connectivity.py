"""Connectivity of this node and its peers to one another, to workers and to the state service.

No safety rule depends on the answer of a peer. Answers are hints on which node should lead or
serve and on which nodes are worth waiting for.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from dunehold.coordination.persistence.sync import ViewSync
from dunehold.protocol import peers
from dunehold.protocol.codec import BadMessage
from dunehold.settings import Settings
from dunehold.transport.http import Client, Connect, NoResponse, Refused
from dunehold.types import MonotonicTime, NodeId

log = logging.getLogger(__name__)

# Maximum number of connections to each peer.
PEER_CONNECTIONS = 2
# Time within which a peer must answer.
PEER_TIMEOUT_S = 0.3
# Time between two comparisons with the peers. The state service must also have failed for this
# long before the peers are asked.
COMPARE_INTERVAL_S = 1.0
# A peer with a proof younger than this is served by the state service.
FRESH_PROOF_MAX_AGE_S = 2.0
# Time after which a worker gives up waiting for an answer, and its delay before it tries the
# next node.
WORKER_ANSWER_TIMEOUT_S = 4.0
WORKER_NEXT_NODE_DELAY_S = 1.0
# Margin added to the time that workers need to reach another node.
SILENCE_MARGIN_S = 2.0


@dataclass(slots=True)
class Connectivity:
    """Judges what this node is connected to; times are seconds on the event loop's clock."""

    settings: Settings
    sync: ViewSync
    connect: Connect
    # Called after each comparison that finds ``cut_off_from_state``.
    on_cut_off_from_state: Callable[[], None]
    # Whether the state service serves some peer but not this node.
    cut_off_from_state: bool = False
    # Whether neither the state service nor any peer answers.
    isolated: bool = False
    # When a worker last reported to this node.
    last_report_at: MonotonicTime = MonotonicTime(-1e9)
    _clients: dict[NodeId, Client] = field(default_factory=dict)

    @staticmethod
    def now() -> MonotonicTime:
        """The event loop's clock, in seconds."""
        return MonotonicTime(asyncio.get_running_loop().time())

    def local_status(self) -> peers.PeerStatus:
        """Returns what this node answers its peers: the ages of its last proof and report."""
        now = self.now()
        return peers.PeerStatus(now - self.sync.proved_at, now - self.last_report_at)

    async def monitor(self) -> None:
        """Distinguishes outages of the state service for all nodes from one for this node.

        If only this node is affected, it sends its users and workers to other nodes. In an
        outage that all nodes share, no other node could serve them better, and running work is
        kept alive for as long as the limit on cancellations allows.
        """
        while True:
            await asyncio.sleep(COMPARE_INTERVAL_S)
            since = self.sync.failing_since
            if since is None or self.now() - since < COMPARE_INTERVAL_S:
                self._set_cut_off_from_state(False)
                self.isolated = False
                continue
            answers = await self.peer_statuses()
            fresh = (s is not None and s.proof_age_s < FRESH_PROOF_MAX_AGE_S for s in answers)
            self._set_cut_off_from_state(any(fresh))
            # Without any answer it is unknown whether all nodes share the outage. Users are
            # sent to other nodes, which may serve them, while running work is kept alive as in
            # a shared outage.
            self.isolated = bool(answers) and all(status is None for status in answers)

    async def _peer_status(self, name: NodeId) -> peers.PeerStatus | None:
        client = self.client(name)
        if client is None:
            return None
        try:
            return await peers.get_peer_status(client, PEER_TIMEOUT_S)
        except (NoResponse, BadMessage):
            return None

    async def peer_statuses(self) -> list[peers.PeerStatus | None]:
        """Asks all peers at once; None stands for a peer that does not answer."""
        return await asyncio.gather(*(self._peer_status(p.name) for p in self.settings.peers))

    async def workers_silent(self) -> bool:
        """Returns whether no controller hears from workers, so that a takeover cannot help.

        Workers that get no answer try the next node, so another node would have heard from any
        worker that can reach one. Workers do not report to followers while the leader answers.
        So this node, too, must have heard nothing for the time that workers need to reach
        another node. Returns False if fewer than half of the peers answer.
        """
        min_silence_s = (
            WORKER_ANSWER_TIMEOUT_S
            + WORKER_NEXT_NODE_DELAY_S
            + 1.25 * self.settings.report_s
            + SILENCE_MARGIN_S
        )
        answers = [status for status in await self.peer_statuses() if status is not None]
        if 2 * len(answers) < len(self.settings.peers):
            return False  # this node itself may be cut off
        ages = [self.now() - self.last_report_at, *(status.worker_age_s for status in answers)]
        return min(ages) >= min_silence_s

    async def reaches(self, name: NodeId) -> bool:
        """Returns whether there is a network path to that node's machine.

        Any answer shows a path, and so does a refused connection, as that machine refused it.
        A node that is not a peer counts as reachable.
        """
        client = self.client(name)
        if client is None:
            return True
        try:
            await peers.get_peer_status(client, PEER_TIMEOUT_S)
        except (Refused, BadMessage):
            return True
        except NoResponse:
            return False
        return True

    def _set_cut_off_from_state(self, cut_off: bool) -> None:
        if cut_off != self.cut_off_from_state:
            log.info(
                "connection to the state service: %s",
                "lost, while a peer has one" if cut_off else "restored, or lost for peers too",
            )
        self.cut_off_from_state = cut_off
        if cut_off:
            self.on_cut_off_from_state()

    def client(self, name: NodeId) -> Client | None:
        """Returns the client for a peer, created on first use, or None if it is not a peer."""
        if name not in self._clients:
            for peer in self.settings.peers:
                if peer.name == name:
                    host, port = peer.address.host, peer.address.port
                    self._clients[name] = self.connect(host, port, PEER_CONNECTIONS)
        return self._clients.get(name)

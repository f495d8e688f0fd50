"""What this node and its peers see of one another, of the workers and of the state service.

No rule depends on an answer of a peer: it is a hint on who should lead, serve or be waited for.
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

PEER_CONNECTIONS = 2
PEER_TIMEOUT_S = 0.3
COMPARE_INTERVAL_S, FRESH_PROOF_MAX_AGE_S = 1.0, 2.0
# Workers give an answer up, and go to the next node, after so long.
WORKER_ANSWER_TIMEOUT_S, WORKER_NEXT_NODE_DELAY_S, SILENCE_MARGIN_S = 4.0, 1.0, 2.0


@dataclass(slots=True)
class Connectivity:
    settings: Settings
    sync: ViewSync
    connect: Connect
    on_cut_off_from_state: Callable[
        [], None
    ]  # others are served by the state service, this node is not
    cut_off_from_state: bool = False  # the state service serves others, but not this node
    isolated: bool = False  # neither the state service nor any peer answers
    last_report_at: MonotonicTime = MonotonicTime(-1e9)  # when any worker reported here
    _clients: dict[NodeId, Client] = field(default_factory=dict)

    @staticmethod
    def now() -> MonotonicTime:
        return MonotonicTime(asyncio.get_running_loop().time())

    def local_status(self) -> peers.PeerStatus:
        now = self.now()
        return peers.PeerStatus(now - self.sync.proved_at, now - self.last_report_at)

    async def monitor(self) -> None:
        """Tell an outage that all nodes see from one that this node alone has.

        Alone, it sends its users and workers elsewhere. In a shared outage there is no
        better place, and running work is kept alive as long as cancellations allow.
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
            # Whether all see the outage can't be told: users do better elsewhere, while
            # running work is kept alive as in an outage of all.
            self.isolated = bool(answers) and all(sight is None for sight in answers)

    async def _peer_status(self, name: NodeId) -> peers.PeerStatus | None:
        client = self.client(name)
        if client is None:
            return None
        try:
            return await peers.get_peer_status(client, PEER_TIMEOUT_S)
        except (NoResponse, BadMessage):
            return None

    async def peer_statuses(self) -> list[peers.PeerStatus | None]:
        return await asyncio.gather(*(self._peer_status(p.name) for p in self.settings.peers))

    async def workers_silent(self) -> bool:
        """Has no controller heard a worker for so long that a change of leader can't help?

        Workers that get no answer try the next node: had there been any, another node would
        have heard them by now. Followers are not reported to as long as the leader answers,
        so this node's own silence must have lasted long enough for them to come round.
        """
        quiet_s = (
            WORKER_ANSWER_TIMEOUT_S
            + WORKER_NEXT_NODE_DELAY_S
            + 1.25 * self.settings.report_s
            + SILENCE_MARGIN_S
        )
        answers = [sight for sight in await self.peer_statuses() if sight is not None]
        if 2 * len(answers) < len(self.settings.peers):
            return False  # it may be this node that is cut off
        ages = [self.now() - self.last_report_at, *(sight.worker_age_s for sight in answers)]
        return min(ages) >= quiet_s

    async def reaches(self, name: NodeId) -> bool:
        """Is there a way to that node's machine? A refusal comes from there, too."""
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
            log.info("the state service serves %s", "others only" if cut_off else "this node")
        self.cut_off_from_state = cut_off
        if cut_off:
            self.on_cut_off_from_state()

    def client(self, name: NodeId) -> Client | None:
        if name not in self._clients:
            for peer in self.settings.peers:
                if peer.name == name:
                    host, port = peer.address.host, peer.address.port
                    self._clients[name] = self.connect(host, port, PEER_CONNECTIONS)
        return self._clients.get(name)

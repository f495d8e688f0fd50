"""What this node and its peers see of one another, of the workers and of the state service.

No rule depends on an answer of a peer: it is a hint on who should lead, serve or be waited for.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from dunehold.coordination.durable.sync import Sync
from dunehold.protocol import peers
from dunehold.protocol.codec import BadMessage
from dunehold.settings import Settings
from dunehold.transport.http import Client, Connect, NoResponse, Refused
from dunehold.types import MonotonicTime, NodeId

log = logging.getLogger(__name__)

PEER_LINKS = 2
PEER_TIMEOUT_S = 0.3
COMPARE_S, FRESH_S = 1.0, 2.0
# Workers give an answer up, and go to the next node, after so long.
ANSWER_S, NEXT_NODE_S, QUIET_MARGIN_S = 4.0, 1.0, 2.0


@dataclass(slots=True)
class Sight:
    settings: Settings
    sync: Sync
    connect: Connect
    on_alone: Callable[[], None]  # others are served by the state service, this node is not
    alone: bool = False  # the state service serves others, but not this node
    isolated: bool = False  # neither the state service nor any peer answers
    worker_at: MonotonicTime = MonotonicTime(-1e9)  # when any worker reported here
    _clients: dict[NodeId, Client] = field(default_factory=dict)

    @staticmethod
    def now() -> MonotonicTime:
        return MonotonicTime(asyncio.get_running_loop().time())

    def own(self) -> peers.Sight:
        now = self.now()
        return peers.Sight(now - self.sync.proved_at, now - self.worker_at)

    async def compare(self) -> None:
        """Tell an outage that all nodes see from one that this node alone has.

        Alone, it sends its users and workers elsewhere. In a shared outage there is no
        better place, and running work is kept alive as long as cancellations allow.
        """
        while True:
            await asyncio.sleep(COMPARE_S)
            since = self.sync.failing_since
            if since is None or self.now() - since < COMPARE_S:
                self._set_alone(False)
                self.isolated = False
                continue
            answers = await self.sights()
            fresh = (s is not None and s.proof_age_s < FRESH_S for s in answers)
            self._set_alone(any(fresh))
            # Whether all see the outage can't be told: users do better elsewhere, while
            # running work is kept alive as in an outage of all.
            self.isolated = bool(answers) and all(sight is None for sight in answers)

    async def _sight(self, name: NodeId) -> peers.Sight | None:
        client = self.client(name)
        if client is None:
            return None
        try:
            return await peers.get_sight(client, PEER_TIMEOUT_S)
        except (NoResponse, BadMessage):
            return None

    async def sights(self) -> list[peers.Sight | None]:
        return await asyncio.gather(*(self._sight(p.name) for p in self.settings.peers))

    async def workers_silent(self) -> bool:
        """Has no controller heard a worker for so long that a change of leader can't help?

        Workers that get no answer try the next node: had there been any, another node would
        have heard them by now. Followers are not reported to as long as the leader answers,
        so this node's own silence must have lasted long enough for them to come round.
        """
        quiet_s = ANSWER_S + NEXT_NODE_S + 1.25 * self.settings.report_s + QUIET_MARGIN_S
        answers = [sight for sight in await self.sights() if sight is not None]
        if 2 * len(answers) < len(self.settings.peers):
            return False  # it may be this node that is cut off
        ages = [self.now() - self.worker_at, *(sight.worker_age_s for sight in answers)]
        return min(ages) >= quiet_s

    async def reaches(self, name: NodeId) -> bool:
        """Is there a way to that node's machine? A refusal comes from there, too."""
        client = self.client(name)
        if client is None:
            return True
        try:
            await peers.get_sight(client, PEER_TIMEOUT_S)
        except (Refused, BadMessage):
            return True
        except NoResponse:
            return False
        return True

    def _set_alone(self, alone: bool) -> None:
        if alone != self.alone:
            log.info("the state service serves %s", "others only" if alone else "this node")
        self.alone = alone
        if alone:
            self.on_alone()

    def client(self, name: NodeId) -> Client | None:
        if name not in self._clients:
            for peer in self.settings.peers:
                if peer.name == name:
                    host, port = peer.address.host, peer.address.port
                    self._clients[name] = self.connect(host, port, PEER_LINKS)
        return self._clients.get(name)

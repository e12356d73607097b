"""Orders the routes of a host's calls to the store by what is known of them.

A call goes over the direct route or is relayed by a peer, another host.
"""
from __future__ import annotations

import dataclasses
import math
import typing

from nutmegworks.model import ids

# A peer that failed is tried last for this time. A host that has lost its
# power is known as a member for as long as its lease lasts (2 s).
PEER_AVOIDANCE_SECONDS: typing.Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another host that can relay calls.

    :param address: host and port.
    :param link: megabits a second of its network link, 0 if unknown.
    """

    address: tuple[str, int]
    domain: ids.DomainId
    link: float = 0.0


# The direct route to the store.
DIRECT: typing.Final = None
Route = typing.Optional[Peer]


@dataclasses.dataclass(slots=True)
class _Health:
    """The last results of a route, in seconds of the caller's clock."""

    answered_at: float = -math.inf
    failed_at: float = -math.inf
    # The peer itself did not answer; otherwise the store did not answer it.
    unreachable: bool = False


class RouteTable:
    """What a host knows of its routes.

    :param own_domain: failure domain of this host.
    """

    def __init__(self, own_domain: ids.DomainId) -> None:
        self._own_domain = own_domain
        self._health_by_address: dict[tuple[str, int] | None, _Health] = {}

    @property
    def direct_is_up(self) -> bool:
        """Whether the last call over the direct route was answered."""
        direct = self._health(DIRECT)
        return direct.answered_at >= direct.failed_at

    def _health(self, route: Route) -> _Health:
        address = None if route is None else route.address
        return self._health_by_address.setdefault(address, _Health())

    def record_answer(self, route: Route, now: float) -> None:
        self._health(route).answered_at = now

    def record_failure(
        self,
        route: Route,
        now: float,
        *,
        started_at: float,
        unreachable: bool,
    ) -> None:
        """Record that a call over a route got no answer.

        It tells nothing if a later call has been answered.

        :param started_at: when the call was sent.
        :param unreachable: the other end, store or peer, did not answer.
        """
        health = self._health(route)
        if health.answered_at > started_at:
            return
        health.failed_at = now
        health.unreachable = unreachable

    def failed_since(self, route: Route, since: float) -> bool:
        """Return whether a route has failed since then and not answered."""
        health = self._health(route)
        return health.failed_at > max(since, health.answered_at)

    def choose(
        self,
        peers: typing.Sequence[Peer],
        now: float,
        limit: int,
    ) -> list[Route]:
        """Return the routes for a call, the best first.

        The direct route is always among them. Peers that failed of late come
        last, then those in a failure domain with an unreachable peer;
        otherwise other domains come first, because a fault may affect a whole
        domain, and wide links before narrow ones.

        :param peers: equal ones keep their order.
        :param limit: most routes to return, one at least.
        """
        failed_by_address = {
            peer.address: self._failed_recently(peer, now)
            for peer in peers
        }
        unreachable_domains = {
            peer.domain
            for peer in peers
            if failed_by_address[peer.address]
            and self._health(peer).unreachable
        }
        ordered = sorted(
            peers,
            key=lambda peer: (
                failed_by_address[peer.address],
                peer.domain in unreachable_domains,
                peer.domain == self._own_domain,
                -peer.link,
            )
        )
        if self.direct_is_up:
            return [DIRECT, *ordered][:limit]
        sound = [
            peer for peer in ordered if not failed_by_address[peer.address]
        ][:limit - 1]
        return [*sound, DIRECT, *ordered[len(sound):]][:limit]

    def is_outside(
        self,
        peer: Peer,
        peers: typing.Iterable[Peer],
    ) -> bool:
        """Return whether an answer of a peer shows that no cut is the cause.

        A peer of the own domain shows it only if there is no other domain.
        """
        return peer.domain != self._own_domain or all(
            other.domain == self._own_domain for other in peers
        )

    def _failed_recently(self, peer: Peer, now: float) -> bool:
        return self.failed_since(peer, now - PEER_AVOIDANCE_SECONDS)


__all__ = ('DIRECT', 'Peer', 'Route', 'RouteTable')

"""Selects the owner that a task order is sent to."""

import random
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import chain
from typing import Final

from gentianpulley.document import ActiveDocuments
from gentianpulley.membership import Membership, instance_of
from gentianpulley.peer import Headroom
from gentianpulley.peer_directory import PeerDirectory
from gentianpulley.resources import Resources
from gentianpulley.rule_evaluation import (
    Subject,
    allowed_domains,
    possible_domains,
)
from gentianpulley.start_gate import StartGate
from gentianpulley.worker_fleet import WorkerFleet

SAMPLE_SIZE: Final = 2


@dataclass(frozen=True, slots=True)
class Route:
    """An owner that may have free capacity."""

    instance: str
    failure_domain: str
    headroom: Headroom


class RoutingPolicy(ABC):
    """Chooses among routes that all may have free capacity."""

    @abstractmethod
    def choose(self, routes: tuple[Route, ...], local_domain: str) -> Route:
        """Return the route to try, given the local failure domain."""


class TwoChoicesRouting(RoutingPolicy):
    """Takes the one with more free processors of two random routes.

    Routes in the local failure domain are preferred: the others are sampled
    only if there are none. Headroom from heartbeats is up to a second old. If
    all instances chose the owner with the most free capacity, they would send
    all requests to the same owner until the next heartbeat.
    """

    def choose(self, routes: tuple[Route, ...], local_domain: str) -> Route:
        """Return the route to try, given the local failure domain."""
        local_routes = [
            route for route in routes if route.failure_domain == local_domain
        ]
        pool = local_routes or list(routes)
        sample = random.sample(pool, min(SAMPLE_SIZE, len(pool)))
        return max(sample, key=_free_processors)


class Router:
    """Finds the owners that may start a task now."""

    def __init__(
        self,
        documents: ActiveDocuments,
        membership: Membership,
        directory: PeerDirectory,
        fleet: WorkerFleet,
        gate: StartGate,
    ) -> None:
        """Route by the active documents and the latest heartbeats."""
        self._shelf = documents
        self._membership = membership
        self._directory = directory
        self._fleet = fleet
        self._gate = gate
        self._policy: RoutingPolicy = TwoChoicesRouting()

    def pick(
        self, subject: Subject, need: Resources, excluded: frozenset[str]
    ) -> Route | None:
        """Return an owner to try that is not excluded, or None."""
        routes = tuple(
            route
            for route in self._routes(subject)
            if route.instance not in excluded and _has_capacity(route, need)
        )
        if not routes:
            return None
        return self._policy.choose(routes, self._gate.failure_domain)

    def may_ever_fit(self, subject: Subject, need: Resources) -> bool:
        """Return whether an idle worker may have capacity for such a task.

        False only if every listed worker is known to be too small. A worker
        that is restarting or changing owners, or whose owner is unresponsive,
        may be large enough.
        """
        cfg = self._shelf.cfg
        if cfg is None:
            return True
        domains = possible_domains(cfg, subject)
        headrooms = {
            route.instance: route.headroom
            for route in self._all_routes()
            if route.failure_domain in domains
        }
        shapes = chain.from_iterable(
            headroom.shapes for headroom in headrooms.values()
        )
        if any(need.fits_in(shape) for shape in set(shapes)):
            return True
        return not self._are_all_reported(domains, headrooms)

    def owner_of(self, worker: str) -> str:
        """Return the instance that owns a worker now, or an empty string."""
        if self._fleet.find(worker) is not None:
            return self._membership.local_member.instance
        return instance_of(self._directory.owner_of(worker))

    def _are_all_reported(
        self, domains: frozenset[str], headrooms: Mapping[str, Headroom]
    ) -> bool:
        """Return whether owners count every listed worker as schedulable."""
        counts = Counter(
            self.owner_of(worker.name)
            for worker in self._membership.all_workers()
            if worker.failure_domain in domains
        )
        return bool(counts) and all(
            headrooms.get(owner, Headroom()).owned_workers >= count
            for owner, count in counts.items()
        )

    def _routes(self, subject: Subject) -> tuple[Route, ...]:
        cfg = self._shelf.cfg
        if cfg is None:
            return ()
        allowed = set(allowed_domains(cfg, subject))
        allowed.difference_update(self._shelf.domains.out)
        return tuple(
            route
            for route in self._all_routes()
            if route.failure_domain in allowed
        )

    def _all_routes(self) -> tuple[Route, ...]:
        routes = []
        if not self._gate.is_draining:
            routes.append(
                Route(
                    self._membership.local_member.instance,
                    self._gate.failure_domain,
                    self._fleet.headroom(),
                )
            )
        for view in self._membership.peers():
            if view.is_accepting_work and view.status is not None:
                routes.append(
                    Route(
                        view.instance,
                        view.failure_domain,
                        view.status.headroom,
                    )
                )
        return tuple(routes)


def _has_capacity(route: Route, need: Resources) -> bool:
    headroom = route.headroom
    return headroom.free_slots > 0 and need.fits_in(headroom.largest)


def _free_processors(route: Route) -> int:
    return route.headroom.total.processors_milli

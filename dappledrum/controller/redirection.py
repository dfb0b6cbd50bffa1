"""Where a controller that can't answer a worker redirects it."""

from dappledrum.controller.environment import Environment
from dappledrum.controller.isolation import Isolation
from dappledrum.election.elector import Elector
from dappledrum.membership.service import Membership
from dappledrum.store.client import StoreClient


class Redirection:
    """Chooses the controller that a worker should report to instead of this one."""

    def __init__(
        self,
        environment: Environment,
        store: StoreClient,
        elector: Elector,
        membership: Membership,
        isolation: Isolation,
    ) -> None:
        self.member = environment.member
        self.peer_heartbeats = environment.tuning.peer_heartbeats_enabled
        self.store = store
        self.elector = elector
        self.membership = membership
        self.isolation = isolation

    def target(self) -> str | None:
        """Return the controller to redirect a worker to.

        Returns None if it is not known; the worker then tries the next one.

        A controller that does not reach the store may know only a former leader. Four of them
        once redirected all workers in a cycle, and none to the fifth, which was the leader.
        """
        if self.isolation.is_isolated():
            return None  # the last known leader may have stopped long ago
        if self.peer_heartbeats:
            member = self.membership.redirect_target()
        else:
            known = None if self.store.availability.is_failing() else self.elector.leader
            member = known.member if known is not None else None
        return None if member == self.member else member

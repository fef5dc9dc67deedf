"""Log lines about observed state changes and the lifecycle of a process."""

from collections.abc import Mapping

from bluebellshore.decisions.kinds import (
    AllotmentOutcome,
    Belief,
    Contact,
    EvacuationStep,
    Kind,
    Verdict,
)
from bluebellshore.decisions.rate_limited import Inputs, RateLimitedLog

__all__ = ["ChangeLines"]


#: Changes that leave a customer with fewer tokens than it had.
_LOSSES = (
    AllotmentOutcome.DENIED,
    AllotmentOutcome.USED_UP,
    AllotmentOutcome.COUNTED_SPENT,
)


class ChangeLines(RateLimitedLog):
    """Methods that log state changes which a process observes, and its lifecycle.

    Arguments that are None are left out of the line.
    """

    def configuration(
        self,
        number: int | None,
        *,
        in_force: bool,
        source: str,
        row_version: int | None = None,
        routes: int | None = None,
        customers: int | None = None,
        size: int | None = None,
        reason: str = "",
    ) -> None:
        """Log that a configuration was applied or rejected.

        :param number: number of the configuration; None if it can't be read.
        :param in_force: whether it was applied.
        :param source: ``"store"`` or the peer that it was received from.
        :param row_version: version of its row in the store.
        :param routes: number of routes in it.
        :param customers: number of customers in it.
        :param size: bytes of its row's value.
        :param reason: why it was rejected.
        """
        self.write(
            Kind.CONFIGURATION,
            {
                "number": number,
                "outcome": "in-force" if in_force else "turned-down",
                "source": source,
                "row_version": row_version,
                "routes": routes,
                "customers": customers,
                "bytes": size,
                "reason": reason or None,
            },
            high_priority=not in_force,
        )

    def backend_server(
        self,
        server: str,
        belief: Belief,
        *,
        reason: str = "",
        service: str = "",
        address: str = "",
        version: str = "",
        born: int | None = None,
        row_version: int | None = None,
        inputs: Inputs | None = None,
    ) -> None:
        """Log a change of a backend server's state, as this router sees it.

        :param version: version of the software that it runs.
        :param born: start time of the server in Unix milliseconds.
        :param row_version: version of the server's row that reports the change.
        :param inputs: data that the change was based on, with their ages.
        """
        self.write(
            Kind.BACKEND_SERVER,
            {
                "server": server,
                "belief": belief.value,
                "reason": reason or None,
                "service": service or None,
                "address": address or None,
                "version": version or None,
                "born": born or None,
                "row_version": row_version,
                "inputs": inputs or None,
            },
            high_priority=belief in (Belief.GONE, Belief.SUSPECTED),
        )

    def peer(
        self,
        peer: str,
        contact: Contact,
        *,
        reason: str = "",
        silent_seconds: float | None = None,
        alive: int | None = None,
    ) -> None:
        """Log that contact with another router was lost or regained.

        :param silent_seconds: time since the last message from it.
        :param alive: number of routers in contact after the change.
        """
        self.write(
            Kind.PEER,
            {
                "peer": peer,
                "contact": contact.value,
                "reason": reason or None,
                "silent_seconds": silent_seconds,
                "alive": alive,
            },
            high_priority=contact is Contact.LOST,
        )

    def store(
        self,
        contact: Contact,
        *,
        reason: str = "",
        silent_seconds: float | None = None,
        versions: Mapping[str, int] | None = None,
        era: int | None = None,
    ) -> None:
        """Log that contact with the store was lost or regained, or that it went back.

        :param era: how often the store has come back from an older copy.
        :param silent_seconds: time since the store last confirmed all tables.
        :param versions: version up to which each table has been read.
        """
        self.write(
            Kind.STORE,
            {
                "contact": contact.value,
                "reason": reason or None,
                "silent_seconds": silent_seconds,
                "versions": dict(versions) if versions else None,
                "era": era,
            },
            high_priority=True,
        )

    def allotment(
        self,
        customer: str,
        outcome: AllotmentOutcome,
        *,
        tokens: int,
        balance: int,
        prepaid: int | None = None,
        row_version: int | None = None,
        reason: str = "",
        inputs: Inputs | None = None,
    ) -> None:
        """Log a change of the part of a customer's budget allotted to this router.

        :param tokens: size of the change.
        :param balance: tokens left to this router after the change.
        :param prepaid: tokens that the customer has paid for in all.
        :param row_version: version of the budget's row.
        :param inputs: what the budget's row says then, and what the change is based on.
        """
        self.write(
            Kind.ALLOTMENT,
            {
                "customer": customer,
                "outcome": outcome.value,
                "tokens": tokens,
                "balance": balance,
                "prepaid": prepaid,
                "row_version": row_version,
                "reason": reason or None,
                "inputs": inputs or None,
            },
            high_priority=outcome in _LOSSES,
        )

    def rollout(
        self,
        service: str,
        verdict: Verdict,
        *,
        target: str,
        share: float | None = None,
        order_version: int | None = None,
        reason: str = "",
        inputs: Inputs | None = None,
    ) -> None:
        """Log that the rollout of a service reached another step.

        :param target: version that is rolled out.
        :param share: share of the service's requests that `target` gets from now on.
        :param order_version: version of the rollout order.
        :param inputs: data that the decision was based on.
        """
        self.write(
            Kind.ROLLOUT,
            {
                "service": service,
                "verdict": verdict.value,
                "target": target,
                "share": share,
                "order_version": order_version,
                "reason": reason or None,
                "inputs": inputs or None,
            },
            high_priority=True,
        )

    def zone(
        self,
        zone: str,
        evacuation: EvacuationStep,
        *,
        source: str = "",
        row_version: int | None = None,
        servers: int | None = None,
        running: int | None = None,
        seconds: float | None = None,
        last_request_seconds: float | None = None,
    ) -> None:
        """Log a step of the evacuation of an availability zone.

        :param source: ``"store"`` or the peer that told of the request.
        :param row_version: version of the request's row.
        :param servers: ready backend servers in the zone.
        :param running: requests of this router that run there.
        :param seconds: time since the evacuation came into force here.
        :param last_request_seconds: time from then to the last request that this router
            sent there; negative before.
        """
        self.write(
            Kind.ZONE,
            {
                "zone": zone,
                "evacuation": evacuation.value,
                "source": source or None,
                "row_version": row_version,
                "servers": servers,
                "running": running,
                "seconds": seconds,
                "last_request_seconds": last_request_seconds,
            },
            high_priority=True,
        )

    def notice(self, subject: str, reason: str, **inputs: object) -> None:
        """Log an event for the operator that no other method covers.

        :param subject: topic of the event, from a fixed set of words.
        :param inputs: data that describe the event.
        """
        fields = {"subject": subject, "reason": reason, "inputs": inputs or None}
        self.write(Kind.NOTICE, fields, high_priority=True)

    def started(self, role: str, **fields: object) -> None:
        """Log that the process is ready to serve, with its addresses and settings."""
        self.write(
            Kind.STARTED,
            {
                "role": role,
                **fields,
            },
        )

    def reloaded(self, **fields: object) -> None:
        """Log that settings were reloaded, with those that changed."""
        self.write(Kind.RELOADED, fields)

    def stopping(self, reason: str, **fields: object) -> None:
        """Log that the process begins to shut down, with the work still in progress."""
        self.write(
            Kind.STOPPING,
            {
                "reason": reason,
                **fields,
            },
        )

    def stopped(self, **fields: object) -> None:
        """Log the end of the process, after the last count of left-out lines."""
        self.report()
        self.write(Kind.STOPPED, fields)

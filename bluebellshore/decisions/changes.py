"""Lines about what a process believes, and about its life."""

from collections.abc import Mapping

from bluebellshore.decisions.kinds import (
    AllotmentOutcome,
    Belief,
    Contact,
    Kind,
    Verdict,
)
from bluebellshore.decisions.lines import BoundedLines, Inputs

__all__ = ["ChangeLines"]


class ChangeLines(BoundedLines):
    """One method for each change of what this process believes."""

    def configuration(
        self,
        number: int | None,
        *,
        in_force: bool,
        source: str,
        row_version: int | None = None,
        routes: int | None = None,
        customers: int | None = None,
        reason: str = "",
    ) -> None:
        """Log that a configuration came into force or was turned down.

        :param number: None when it can't be read.
        :param source: ``"store"`` or the peer that told of it.
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
                "reason": reason or None,
            },
            grave=not in_force,
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
        """Log a change of what is believed of a backend server.

        :param born: Unix milliseconds of its start.
        :param row_version: version of its entry that says so.
        :param inputs: what it was judged by, with ages.
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
            grave=belief in (Belief.GONE, Belief.SUSPECTED),
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
        """Log that another router was lost or is back.

        :param alive: routers in contact after it.
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
            grave=contact is Contact.LOST,
        )

    def store(
        self,
        contact: Contact,
        *,
        reason: str = "",
        silent_seconds: float | None = None,
        versions: Mapping[str, int] | None = None,
    ) -> None:
        """Log that the store was lost or is back.

        :param versions: version up to which each table is known.
        """
        self.write(
            Kind.STORE,
            {
                "contact": contact.value,
                "reason": reason or None,
                "silent_seconds": silent_seconds,
                "versions": dict(versions) if versions else None,
            },
            grave=True,
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
    ) -> None:
        """Log that this router's part of a budget grew, shrank or is used up.

        :param tokens: by how much.
        :param balance: left to this router after it.
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
            },
            grave=outcome in (AllotmentOutcome.DENIED, AllotmentOutcome.USED_UP),
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
        """Log where the rollout of a service stands.

        :param share: of the service's requests that `target` gets from now on.
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
            grave=True,
        )

    def notice(self, subject: str, reason: str, **inputs: object) -> None:
        """Log what an operator should know and no other method says.

        :param subject: what it is about; a word of a fixed set.
        """
        fields = {"subject": subject, "reason": reason, "inputs": inputs or None}
        self.write(Kind.NOTICE, fields, grave=True)

    def started(self, role: str, **fields: object) -> None:
        """Log that the process serves, with its addresses and settings."""
        self.write(
            Kind.STARTED,
            {
                "role": role,
                **fields,
            },
        )

    def reloaded(self, **fields: object) -> None:
        """Log that settings were read anew, with those that differ."""
        self.write(Kind.RELOADED, fields)

    def stopping(self, reason: str, **fields: object) -> None:
        """Log that the process begins to stop, with what it has in hand."""
        self.write(
            Kind.STOPPING,
            {
                "reason": reason,
                **fields,
            },
        )

    def stopped(self, **fields: object) -> None:
        """Log the end of the process, after what was left out."""
        self.report()
        self.write(Kind.STOPPED, fields)

"""Which part of a process's descriptors each of its ports may take."""

import msgspec

__all__ = ["DescriptorShares"]

#: Each request that is being served takes another one for its backend server.
CALLERS_SHARE = 0.4
PEERS_SHARE = 0.1
SIDE_SHARE = 0.05
MIN_CALLERS = 64
MIN_PEERS = 16
MIN_SIDE = 8


class DescriptorShares(msgspec.Struct, frozen=True):
    """Connections that strangers may have open to the ports of a process.

    Handles crowds that connect to one port until the process has no descriptor left for
    its other ports, backend servers, peers, the store and files, which keep the rest.

    :param callers: connections to the callers' port.
    :param peers: connections to the peers' port.
    :param side: connections to the readiness port, and as many to the metrics port.
    """

    callers: int = 100_000
    peers: int = 1024
    side: int = 64

    @classmethod
    def of_process(cls, file_descriptors: int) -> "DescriptorShares":
        """Return the shares of a process.

        :param file_descriptors: files that it may open; 0 when unknown.
        """
        if not file_descriptors:
            return cls()
        return cls(
            max(MIN_CALLERS, int(file_descriptors * CALLERS_SHARE)),
            max(MIN_PEERS, int(file_descriptors * PEERS_SHARE)),
            max(MIN_SIDE, int(file_descriptors * SIDE_SHARE)),
        )

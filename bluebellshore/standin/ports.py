"""Reserves loopback ports for processes that are started later."""

import itertools
import os
import socket

__all__ = ["reserve_address"]

#: Ports below those from which the kernel gives outgoing connections theirs.
FIRST_PORT = 12_000
END_PORT = 32_000
#: Distance between the first ports that processes with consecutive ids try.
PORTS_PER_PROCESS = 37

_ports = itertools.islice(
    itertools.cycle(range(FIRST_PORT, END_PORT)),
    os.getpid() * PORTS_PER_PROCESS % (END_PORT - FIRST_PORT),
    None,
)
#: Sockets that keep the reserved ports until this process ends.
_reservations: list[socket.socket] = []


def reserve_address() -> str:
    """Reserve a loopback port for the life of this process.

    The port stays bound by a socket that doesn't listen. Other reservations fail on it,
    while a server that sets ``SO_REUSEADDR``, as all of ours do, can listen on it, and
    so can its successor.

    :return: ``host:port``.
    :raises OSError: no port is free.
    """
    for port in itertools.islice(_ports, END_PORT - FIRST_PORT):
        reservation = socket.socket()
        try:
            reservation.bind(("127.0.0.1", port))
        except OSError:
            reservation.close()
            continue
        # Set after the bind, which must fail where another process holds the port.
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reservations.append(reservation)
        return f"127.0.0.1:{port}"
    raise OSError(f"no port from {FIRST_PORT} to {END_PORT - 1} is free")

"""Protocols between the product's processes.

Nothing is imported here: entry routers use :mod:`bluebellshore.wire.peer_pb2` alone,
and start sooner without the links to sidecars.
"""

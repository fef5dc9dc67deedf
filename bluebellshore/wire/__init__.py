"""Protocols between routers, and between routers and sidecars.

This package imports none of its modules: entry routers use only
:mod:`bluebellshore.wire.peer_pb2`, and start sooner without the links to sidecars.
"""

"""Rendezvous hashing of request keys and prompt prefixes onto sidecars."""

from collections.abc import Iterable
from typing import Protocol, TypeVar

import xxhash

from bluebellshore.ids import InstanceId

__all__ = ["HasInstanceId", "rendezvous_order", "rendezvous_winner"]


class HasInstanceId(Protocol):
    """An object that is identified by the instance on which it runs."""

    instance_id: InstanceId


T = TypeVar("T", bound=HasInstanceId)


def _score(seed: int, node: HasInstanceId) -> int:
    return xxhash.xxh3_64_intdigest(node.instance_id.encode(), seed=seed)


def rendezvous_order(data: bytes, nodes: Iterable[T]) -> list[T]:
    """Return `nodes` sorted by their rendezvous hash with `data`, highest first.

    Routers that know the same nodes get the same order. The relative order of the other
    nodes doesn't change when a node leaves.
    """
    seed = xxhash.xxh3_64_intdigest(data)
    return sorted(nodes, key=lambda node: _score(seed, node), reverse=True)


def rendezvous_winner(data: bytes, nodes: Iterable[T]) -> T | None:
    """Return the node with the highest rendezvous hash, None if there are no nodes."""
    seed = xxhash.xxh3_64_intdigest(data)
    return max(nodes, key=lambda node: _score(seed, node), default=None)

"""Which nodes hold a watch on the store: a few in each failure domain."""

import typing

import xxhash

WATCHERS_PER_DOMAIN = 2


def is_watcher(
    node: str,
    domain_nodes: typing.Collection[str],
    count: int = WATCHERS_PER_DOMAIN,
) -> bool:
    """Tell whether a node's rank in its failure domain makes it a watcher.

    Nodes with differing lists may disagree; that costs a watch more or
    less, and polling covers a domain without any.

    :param node: the node.
    :param domain_nodes: the nodes of its failure domain, itself included
        or not.
    :param count: watchers wanted.
    """
    rank = _rank_node(node)
    ahead = sum(_rank_node(other) < rank for other in domain_nodes)
    return ahead < count


def _rank_node(node: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(node.encode()), node

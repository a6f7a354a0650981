"""Choice of the nodes that watch the store: a few per failure domain."""

import typing

import xxhash

WATCHERS_PER_DOMAIN = 2


def is_watcher(
    node: str,
    domain_nodes: typing.Collection[str],
    count: int = WATCHERS_PER_DOMAIN,
) -> bool:
    """Tell whether a node's rank in its failure domain makes it a watcher.

    Nodes with different lists may disagree, which changes the number of
    watches; polling covers a domain without any.

    :param node: the node.
    :param domain_nodes: the nodes of its failure domain, with or without
        itself.
    :param count: number of watchers per domain.
    """
    rank = _rank_node(node)
    ahead = sum(_rank_node(other) < rank for other in domain_nodes)
    return ahead < count


def _rank_node(node: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(node.encode()), node

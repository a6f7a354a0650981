"""Computes the loads up to which endpoints get requests.

Load pattern: a few hot prompts receive much of the traffic, and part of a
service may be unavailable, so that the rest has more than its mean load. The
bounds at which prompts overflow follow the mean of the candidates. They are
lowered so that none of them exceeds the limit of the whole service.
"""

# Load bounds: a multiple of the mean load plus a number of requests. Between
# the two bounds the probability of overflow rises from 0 to 1; with a single
# bound, routers acting on the same stale counts would all leave or enter an
# endpoint at once.
SOFT_BOUND_MULTIPLE = 1.3
SOFT_BOUND_SLACK = 2.0
HARD_BOUND_MULTIPLE = 1.7
HARD_BOUND_SLACK = 3.0
# Guaranteed limit of a load: a multiple of the mean of the service, with
# endpoints that accept no new work, plus a number of requests.
LIMIT_MULTIPLE = 2.0
LIMIT_SLACK = 3.0
# Counts are exchanged faster if the bound leaves less room than this share of
# the mean of the candidates. In a usual interval of the exchange, about a
# tenth of an endpoint's requests are replaced by others.
FAST_EXCHANGE_ROOM_SHARE = 0.3


def needs_fresh_counts(mean: float, service_mean: float) -> bool:
    """Tell whether the bound leaves little room above the mean.

    :param mean: mean load of the endpoints that accept work.
    :param service_mean: mean load of all listed endpoints of the service.
    """
    room = compute_room(mean, service_mean)
    is_narrow = room < mean * FAST_EXCHANGE_ROOM_SHARE
    return is_narrow and is_bound_reduced(mean, service_mean)


def compute_guaranteed_limit(service_mean: float) -> float:
    """Return the load above which an endpoint should get no requests.

    :param service_mean: mean load of all listed endpoints of the service.
    """
    return service_mean * LIMIT_MULTIPLE + LIMIT_SLACK


def is_bound_reduced(mean: float, service_mean: float) -> bool:
    """Tell whether unavailable endpoints lower the bound.

    :param mean: mean load of the candidates.
    :param service_mean: mean load of all listed endpoints of the service.
    """
    return _compute_limit(service_mean) < (
        mean * HARD_BOUND_MULTIPLE + HARD_BOUND_SLACK
    )


def compute_room(mean: float, service_mean: float) -> float:
    """Return the requests that an endpoint with the mean load may still get.

    :param mean: mean load of the candidates.
    :param service_mean: mean load of all listed endpoints of the service.
    """
    return _compute_limit(service_mean) - mean


def compute_bounds(mean: float, service_mean: float) -> tuple[float, float]:
    """Return the loads at which overflow begins and is complete.

    A lower mean of the service lowers both in proportion to their distance
    from the mean of the candidates. An endpoint with that mean stays usable:
    if most of the service is unavailable, the candidates cannot keep the
    limit, and an even distribution is all that is left.

    :param mean: mean load of the candidates.
    :param service_mean: mean load of all listed endpoints of the service.
    """
    soft_bound = mean * SOFT_BOUND_MULTIPLE + SOFT_BOUND_SLACK
    hard_bound = mean * HARD_BOUND_MULTIPLE + HARD_BOUND_SLACK
    if not is_bound_reduced(mean, service_mean):
        return soft_bound, hard_bound
    room = compute_room(mean, service_mean)
    share = max(1.0, room) / (hard_bound - mean)
    return (
        mean + share * (soft_bound - mean),
        mean + share * (hard_bound - mean),
    )


def _compute_limit(service_mean: float) -> float:
    """Return the load at which overflow of a service is complete."""
    return service_mean * HARD_BOUND_MULTIPLE + HARD_BOUND_SLACK

"""Messages between holders and the ledger."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Quota:
    """A quantity that can be lent: a rate and a burst.

    Concurrency permits are a whole with rate 0, whose burst is the number
    of permits.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class Holding:
    """What a holder holds of one resource, and what it could use.

    ``returned`` counts the tokens given back under the current lease;
    ``wanted_burst`` is the burst that it needs at once, and ``reserve`` what
    it would like to have beyond that.
    """

    resource: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    returned: float = 0.0
    demand_per_s: float = 0.0
    wanted_burst: float = 0.0
    reserve: float = 0.0


@dataclass(frozen=True, slots=True)
class Renewal:
    """A holder's request to extend its lease.

    ``number`` increases with each request of an incarnation; ``applied`` is
    the sequence number of the last grants that the holder applied, under
    the lease ``lease_id``.
    """

    holder: str
    incarnation: int
    number: int
    lease_id: int
    applied: int
    holdings: tuple[Holding, ...] = ()
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """What the holder may use of one resource from now on.

    ``given`` counts the tokens transferred under the lease; a cumulative
    count makes a repeated answer harmless. ``is_exhausted`` tells that the
    ledger has nothing left to give, ``is_on_demand`` that the holder is to
    ask when requests wait and to keep nothing.
    """

    resource: str
    rate_per_s: float
    burst: float
    given: float
    is_exhausted: bool = False
    is_on_demand: bool = False


@dataclass(frozen=True, slots=True)
class Grants:
    """The ledger's answer to the incarnation's renewal ``number``.

    ``sequence`` 0 marks an answer to an outdated request, to be ignored.
    ``is_adopted`` tells that the lease continues what the holder claimed
    from an earlier ledger; otherwise a new ``lease_id`` starts from nothing.
    ``is_recovering`` tells that nothing grows yet after a leader change.
    """

    incarnation: int
    number: int
    lease_id: int
    sequence: int
    is_adopted: bool = False
    is_recovering: bool = False
    grants: tuple[Grant, ...] = ()

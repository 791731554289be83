"""Messages of the share protocol between holders and the ledger."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Quota:
    """A rate and a burst that can be lent.

    Concurrency permits are a quota with rate 0, whose burst is the number
    of permits.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class Holding:
    """What a holder holds of one resource, and what it could use.

    ``returned`` counts the tokens returned under the current lease;
    ``wanted_burst`` is the burst that the holder needs immediately, and
    ``reserve`` the burst that it could use beyond that. ``applied`` is the
    sequence number of the last applied grants that listed the resource; None
    from a holder that always lists all resources.
    """

    resource: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    returned: float = 0.0
    demand_per_s: float = 0.0
    wanted_burst: float = 0.0
    reserve: float = 0.0
    applied: int | None = None


@dataclass(frozen=True, slots=True)
class Renewal:
    """A holder's request to extend its lease.

    ``number`` increases with each request of an incarnation; ``applied`` is
    the sequence number of the last grants that the holder applied, under
    the lease ``lease_id``. A partial renewal extends the whole lease but lists
    only the resources that changed.
    """

    holder: str
    incarnation: int
    number: int
    lease_id: int
    applied: int
    holdings: tuple[Holding, ...] = ()
    is_leaving: bool = False
    is_partial: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """What the holder may use of one resource from now on.

    ``given`` counts the tokens transferred under the lease; the count is
    cumulative, so that a repeated answer has no effect. ``is_exhausted`` means
    that the ledger has nothing left to lend, ``is_on_demand`` that the holder
    asks only when requests wait and keeps no other tokens.
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

    ``sequence`` 0 marks an answer that the holder ignores, for example to an
    outdated request. ``is_adopted`` means that the lease continues the shares
    that the holder claimed from an earlier ledger; otherwise a new
    ``lease_id`` starts without shares. ``is_recovering`` means that no share
    grows yet after a leader change.
    """

    incarnation: int
    number: int
    lease_id: int
    sequence: int
    is_adopted: bool = False
    is_recovering: bool = False
    grants: tuple[Grant, ...] = ()

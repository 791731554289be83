"""Share messages on the wire; zero values are left out to save bytes."""

from ..wire.generated.shares import ttypes as wire
from .messages import Grant, Grants, Holding, Renewal


def encode_renewal(renewal: Renewal) -> wire.RenewRequest:
    """Return the Thrift form of a renewal."""
    return wire.RenewRequest(
        holder=renewal.holder,
        incarnation=renewal.incarnation,
        number=renewal.number,
        lease_id=renewal.lease_id,
        applied=renewal.applied,
        holdings=[
            wire.Holding(
                resource=holding.resource,
                rate_per_s=holding.rate_per_s or None,
                burst=holding.burst or None,
                returned=holding.returned or None,
                demand_per_s=holding.demand_per_s or None,
                wanted_burst=holding.wanted_burst or None,
                reserve=holding.reserve or None,
                applied=holding.applied,
            )
            for holding in renewal.holdings
        ],
        is_leaving=renewal.is_leaving,
    )


def decode_renewal(
    request: wire.RenewRequest, *, is_partial: bool = False
) -> Renewal:
    """Return the renewal in a Thrift request.

    Parameters
    ----------
    request : RenewRequest
        The message.
    is_partial : bool
        Whether it was sent by ``renew_changes``.
    """
    return Renewal(
        request.holder,
        request.incarnation,
        request.number,
        request.lease_id,
        request.applied,
        holdings=tuple(
            Holding(
                holding.resource,
                holding.rate_per_s or 0.0,
                holding.burst or 0.0,
                holding.returned or 0.0,
                holding.demand_per_s or 0.0,
                holding.wanted_burst or 0.0,
                holding.reserve or 0.0,
                holding.applied,
            )
            for holding in request.holdings
        ),
        is_leaving=request.is_leaving,
        is_partial=is_partial,
    )


def encode_grants(grants: Grants) -> wire.RenewReply:
    """Return the Thrift form of the ledger's answer."""
    return wire.RenewReply(
        incarnation=grants.incarnation,
        number=grants.number,
        lease_id=grants.lease_id,
        sequence=grants.sequence,
        is_adopted=grants.is_adopted,
        is_recovering=grants.is_recovering,
        grants=[
            wire.Grant(
                resource=grant.resource,
                rate_per_s=grant.rate_per_s or None,
                burst=grant.burst or None,
                given=grant.given or None,
                is_exhausted=grant.is_exhausted or None,
                is_on_demand=grant.is_on_demand or None,
            )
            for grant in grants.grants
        ],
    )


def decode_grants(reply: wire.RenewReply) -> Grants:
    """Return the ledger's answer in a Thrift reply."""
    return Grants(
        reply.incarnation,
        reply.number,
        reply.lease_id,
        reply.sequence,
        is_adopted=reply.is_adopted,
        is_recovering=reply.is_recovering,
        grants=tuple(
            Grant(
                grant.resource,
                grant.rate_per_s or 0.0,
                grant.burst or 0.0,
                grant.given or 0.0,
                is_exhausted=bool(grant.is_exhausted),
                is_on_demand=bool(grant.is_on_demand),
            )
            for grant in reply.grants
        ),
    )

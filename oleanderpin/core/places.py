"""Distances between places: failure domains and regions."""

from typing import Protocol

OWN_FAILURE_DOMAIN = 0
OWN_REGION = 1
OTHER_REGION = 2


class Place(Protocol):
    """Anything that stands in a failure domain of a region."""

    @property
    def region(self) -> str:
        """Name of the region."""
        ...

    @property
    def failure_domain(self) -> str:
        """Name of the failure domain."""
        ...


def distance(own: Place, other: Place) -> int:
    """Return the distance between two places, the shortest one as 0."""
    if other.failure_domain == own.failure_domain:
        return OWN_FAILURE_DOMAIN
    return OWN_REGION if other.region == own.region else OTHER_REGION

"""Memory and descriptors of this process, and their limits."""

import resource
from dataclasses import dataclass
from fractions import Fraction
from pathlib import Path

from .metrics import EVENTS

BYTES_PER_MB = 1_000_000
_PROCESS = Path('/proc/self')
_BYTES_PER_KIB = 1024


@dataclass(frozen=True, slots=True)
class ProcessResources:
    """What the process holds; None where the system does not tell.

    Parameters
    ----------
    resident_bytes, peak_resident_bytes : int or None
        Resident memory, now and at most since the start.
    open_descriptors : int or None
        Open descriptors.
    descriptor_limit : int or None
        Descriptors that the process may open; None if not limited.
    """

    resident_bytes: int | None
    peak_resident_bytes: int | None
    open_descriptors: int | None
    descriptor_limit: int | None

    @property
    def resident_mb(self) -> int | None:
        """Resident memory in megabytes."""
        return _in_mb(self.resident_bytes)

    @property
    def peak_resident_mb(self) -> int | None:
        """Most resident memory since the start in megabytes."""
        return _in_mb(self.peak_resident_bytes)


def read_resources(process: Path = _PROCESS) -> ProcessResources:
    """Return what the process holds.

    Parameters
    ----------
    process : Path
        Folder of the process, as in ``/proc``.
    """
    memory = _memory_bytes(process)
    return ProcessResources(
        resident_bytes=memory.get('VmRSS'),
        peak_resident_bytes=memory.get('VmHWM'),
        open_descriptors=_open_descriptors(process),
        descriptor_limit=descriptor_limit(),
    )


def descriptor_limit() -> int | None:
    """Return how many descriptors may be open; None if not limited."""
    return _limit(resource.RLIMIT_NOFILE)


def connection_limit(max_connections: int, *, of_descriptors: Fraction) -> int:
    """Return how many connections a listener of this process may have.

    Parameters
    ----------
    max_connections : int
        Limit where descriptors are not limited, or the limit on them is large.
    of_descriptors : Fraction
        Part of the descriptors that connections may use.
    """
    descriptors = descriptor_limit()
    if descriptors is None:
        return max_connections
    return min(max_connections, int(descriptors * of_descriptors))


def address_space_limit_mb() -> int | None:
    """Return the limit of the address space; None if not limited."""
    return _in_mb(_limit(resource.RLIMIT_AS))


def _limit(kind: int) -> int | None:
    soft, _hard = resource.getrlimit(kind)
    return None if soft == resource.RLIM_INFINITY else soft


def _in_mb(size_bytes: int | None) -> int | None:
    return None if size_bytes is None else size_bytes // BYTES_PER_MB


def _memory_bytes(process: Path) -> dict[str, int]:
    """Return the fields of the memory by name."""
    try:
        text = (process / 'status').read_text(encoding='ascii')
    except (OSError, UnicodeDecodeError):
        # Not every system has this file.
        EVENTS.labels('process', 'memory_unreadable').inc()
        return {}
    found = {}
    for line in text.splitlines():
        name, _colon, size = line.partition(':')
        if name in {'VmRSS', 'VmHWM'}:
            found[name] = int(size.split()[0]) * _BYTES_PER_KIB
    return found


def _open_descriptors(process: Path) -> int | None:
    try:
        entries = len(list((process / 'fd').iterdir()))
    except OSError:
        EVENTS.labels('process', 'descriptors_unreadable').inc()
        return None
    # One of them is open for the listing itself.
    return entries - 1

"""What another process holds and uses, as the system tells it."""

import os
from pathlib import Path

_BYTES_PER_KIB = 1024


def memory_bytes(pid: int, *, peak: bool = True) -> int:
    """Return its resident memory, by default the largest so far."""
    name = 'VmHWM:' if peak else 'VmRSS:'
    status = Path(f'/proc/{pid}/status').read_text()
    return int(status.partition(name)[2].split()[0]) * _BYTES_PER_KIB


def open_descriptors(pid: int) -> int:
    """Return the number of its open descriptors."""
    return len(list(Path(f'/proc/{pid}/fd').iterdir()))


def processor_s(pid: int) -> float:
    """Return the processor time that it has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')

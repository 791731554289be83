"""Processor time of this process by thread group, its memory, and its stalls.

Tells a process that lacks processor time from one that waits for a peer: the
first one wakes up late and shows which of its threads used the time. Tells a
process that is ended for its memory or descriptors from one that crashes.
"""

import logging
import re
import threading
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path

from prometheus_client.core import (
    REGISTRY,
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from .background import background_thread
from .clock import monotonic_s
from .metrics import EVENTS
from .plugin import Plugin, plugins
from .process_resources import (
    BYTES_PER_MB,
    ProcessResources,
    address_space_limit_mb,
    descriptor_limit,
    read_resources,
)

_LOG = logging.getLogger(__name__)
_TASKS = Path('/proc/self/task')
_NANOSECONDS_PER_S = 1e9
_INSTANCE_SUFFIX = re.compile(r'[-_ :]*\d.*$')
_UNNAMED = 'other'

_CHECK_INTERVAL_S = 1.0
# Longer than the delays of a busy event loop or of the scheduler's time slices.
_STALL_S = 0.25
_LOG_INTERVAL_S = 10.0
_LOGGED_GROUPS = 6
# A process that is ended for its memory between two regular lines has written
# one of these; less than a tenth of the memory of a small machine.
_LOGGED_GROWTH_BYTES = 20 * BYTES_PER_MB


def group_name(thread_name: str) -> str:
    """Return the name that similar threads share, without their numbers."""
    return _INSTANCE_SUFFIX.sub('', thread_name) or _UNNAMED


class ThreadUsage:
    """Processor time by thread group, including threads that have ended.

    Parameters
    ----------
    tasks : Path
        Folder with one entry per thread of the process, as in ``/proc``.
    """

    def __init__(self, tasks: Path = _TASKS) -> None:
        """Start without samples."""
        self._tasks = tasks
        self._lock = threading.Lock()
        self._running: dict[int, tuple[str, float]] = {}
        self._ended_s: defaultdict[str, float] = defaultdict(float)

    def sample(self) -> tuple[dict[str, float], dict[str, int]]:
        """Return processor seconds and number of threads by thread group."""
        names = {
            thread.native_id: group_name(thread.name)
            for thread in threading.enumerate()
        }
        with self._lock:
            running = {
                native_id: (names.get(native_id, _UNNAMED), used_s)
                for native_id, used_s in self._used_s()
            }
            for native_id, (name, used_s) in self._running.items():
                if native_id not in running:
                    self._ended_s[name] += used_s
            self._running = running
            totals_s = self._ended_s.copy()
            counts: Counter[str] = Counter()
            for name, used_s in running.values():
                totals_s[name] += used_s
                counts[name] += 1
            return dict(totals_s), dict(counts)

    def _used_s(self) -> Iterator[tuple[int, float]]:
        for folder in self._thread_folders():
            try:
                stat = (folder / 'schedstat').read_text(encoding='ascii')
            except OSError:
                # The thread has ended since the folder was listed.
                continue
            # The first field is the time on the processor.
            used_ns = int(stat.split()[0])
            yield int(folder.name), used_ns / _NANOSECONDS_PER_S

    def _thread_folders(self) -> list[Path]:
        try:
            return list(self._tasks.iterdir())
        except OSError:
            # Not every system has this folder.
            EVENTS.labels('process', 'usage_unreadable').inc()
            return []


class UsageCollector(Collector):
    """Serves the usage by thread group as metrics."""

    def __init__(self, usage: ThreadUsage) -> None:
        """Store the source of the figures."""
        self._usage = usage

    def collect(self) -> Iterable[Metric]:
        """Yield processor seconds and number of threads by thread group."""
        used_s, counts = self._usage.sample()
        seconds = CounterMetricFamily(
            'oleanderpin_thread_cpu_seconds',
            'Processor time by thread group.',
            labels=['group'],
        )
        threads = GaugeMetricFamily(
            'oleanderpin_threads',
            'Running threads by thread group.',
            labels=['group'],
        )
        for name, seconds_used in used_s.items():
            seconds.add_metric([name], seconds_used)
        for name, count in counts.items():
            threads.add_metric([name], count)
        return (seconds, threads)


class ResourcesCollector(Collector):
    """Serves memory and descriptors of the process as metrics."""

    def collect(self) -> Iterable[Metric]:
        """Yield what the process holds, as far as the system tells it."""
        resources = read_resources()
        gauges = (
            ('resident_bytes', 'Resident memory.', resources.resident_bytes),
            (
                'peak_resident_bytes',
                'Most resident memory since the start.',
                resources.peak_resident_bytes,
            ),
            (
                'open_descriptors',
                'Open descriptors.',
                resources.open_descriptors,
            ),
            (
                'descriptor_limit',
                'Descriptors that may be open.',
                resources.descriptor_limit,
            ),
        )
        for name, description, amount in gauges:
            if amount is not None:
                yield GaugeMetricFamily(
                    f'oleanderpin_{name}', description, value=amount
                )


USAGE = ThreadUsage()
REGISTRY.register(UsageCollector(USAGE))
REGISTRY.register(ResourcesCollector())


@plugins.register('process-monitor')
class ProcessMonitor(Plugin):
    """Logs stalls of the process, what its threads use, and its memory."""

    def start(self) -> None:
        """Log the limits in force and start the monitoring thread."""
        _LOG.info(
            'limits in force',
            extra={
                # The settings tell it where the users limit the memory.
                'memory_limit_mb': getattr(
                    self.kernel.settings.instance, 'memory_mb', None
                ),
                'address_space_limit_mb': address_space_limit_mb(),
                'descriptor_limit': descriptor_limit(),
            },
        )
        background_thread(self.kernel, self.run, name='process-monitor').start()

    def run(self) -> None:
        """Check for stalls and log the usage until the instance stops."""
        logged_s = monotonic_s()
        used_before: dict[str, float] = {}
        logged = read_resources()
        while True:
            started_s = monotonic_s()
            if not self.kernel.wait_while_running(_CHECK_INTERVAL_S):
                return
            now_s = monotonic_s()
            late_s = now_s - started_s - _CHECK_INTERVAL_S
            if late_s >= _STALL_S:
                EVENTS.labels('process', 'stalled').inc()
                _LOG.warning(
                    'process was stalled',
                    extra={'stalled_ms': int(late_s * 1000)},
                )
            resources = read_resources()
            is_due = now_s - logged_s >= _LOG_INTERVAL_S
            if not is_due and not _has_grown(logged, resources):
                continue
            used_s, counts = USAGE.sample()
            _log_usage(
                used_s,
                used_before,
                interval_s=now_s - logged_s,
                thread_count=sum(counts.values()),
                resources=resources,
            )
            logged_s, used_before, logged = now_s, used_s, resources


def _has_grown(before: ProcessResources, now: ProcessResources) -> bool:
    if before.resident_bytes is None or now.resident_bytes is None:
        return False
    return now.resident_bytes - before.resident_bytes >= _LOGGED_GROWTH_BYTES


def _log_usage(
    used_s: dict[str, float],
    used_before: dict[str, float],
    *,
    interval_s: float,
    thread_count: int,
    resources: ProcessResources,
) -> None:
    spent_ms = Counter(
        {
            name: int((total_s - used_before.get(name, 0.0)) * 1000)
            for name, total_s in used_s.items()
        }
    )
    _LOG.info(
        'processor time used',
        extra={
            'interval_ms': int(interval_s * 1000),
            'used_ms': spent_ms.total(),
            'threads': thread_count,
            'by_group_ms': dict(spent_ms.most_common(_LOGGED_GROUPS)),
            'resident_mb': resources.resident_mb,
            'peak_resident_mb': resources.peak_resident_mb,
            'open_descriptors': resources.open_descriptors,
            'descriptor_limit': resources.descriptor_limit,
        },
    )

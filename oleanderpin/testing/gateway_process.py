"""One gateway as a real process, with a target, for tests of its limits."""

import resource
import socket
import threading
import time
import uuid
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

import urllib3

from ..control.configuration import (
    ConfigurationReplace,
    LimitsDocument,
    ProfileDocument,
)
from . import process_readings
from .builders import free_ports
from .gateway import (
    LoopbackTarget,
    configuration,
    gateway_settings,
    with_route_to,
)
from .processes import AdminError, DaemonProcess, stop_all

_ANNOUNCE_INTERVAL_S = 0.5
_START_TIMEOUT_S = 60.0
_POLL_S = 0.1
_TARGET_SLOTS = 1000
_REQUEST_TIMEOUT_S = 30.0
_BYTES_PER_MB = 1024 * 1024
OTHER_SERVICE = 'other'
# The line of the settings that the options replace.
_SMALL_BUDGET = 'max_buffered_bytes = 1048576'
_INSTANCE = '[instance]'
_REPEATABLE = ProfileDocument(
    is_repeatable=True, max_attempts=1, request_timeout_s=_REQUEST_TIMEOUT_S
)


@dataclass(slots=True)
class GatewayProcess:
    """A running gateway that is its own control group.

    Parameters
    ----------
    daemon : DaemonProcess
        The process.
    port : int
        Port for callers.
    """

    daemon: DaemonProcess
    port: int

    @property
    def is_alive(self) -> bool:
        """Whether the process has not ended."""
        process = self.daemon.process
        return process is not None and process.poll() is None

    def connect(self, timeout_s: float) -> socket.socket:
        """Open a connection to the caller port."""
        return socket.create_connection(('127.0.0.1', self.port), timeout_s)

    def peak_memory_mb(self) -> float:
        """Return the largest resident memory so far."""
        return process_readings.memory_bytes(self.daemon.pid) / _BYTES_PER_MB

    def open_descriptors(self) -> int:
        """Return the number of open descriptors."""
        return process_readings.open_descriptors(self.daemon.pid)


@contextmanager
def gateway_process(
    folder: Path,
    target: LoopbackTarget,
    *,
    options: tuple[str, ...] = (),
    limits: LimitsDocument | None = None,
    max_descriptors: int | None = None,
    others: Mapping[str, LoopbackTarget] | None = None,
    memory_mb: int | None = None,
    has_control_role: bool = True,
) -> Iterator[GatewayProcess]:
    """Run a gateway in a process of its own until the block ends.

    Parameters
    ----------
    folder : Path
        Folder for settings, log and data.
    target : LoopbackTarget
        Serves the requests below ``/desk/``; it is announced until the block
        ends.
    options : tuple of str
        Further lines of the settings, beginning in the section ``gateway``.
    limits : LimitsDocument, optional
        Limits on the requests of callers.
    max_descriptors : int, optional
        Limit on the open descriptors of the process.
    others : mapping, optional
        By name, targets of the service ``other``, which serve the requests
        below ``/other/``.
    memory_mb : int, optional
        Memory that the process may use, in MiB.
    has_control_role : bool
        Whether the gateway is its own control group. Otherwise that is another
        process.

    Raises
    ------
    TimeoutError
        If the gateway takes no configuration in time.
    """
    ports = free_ports(3)
    text = gateway_settings(ports, folder / 'data')
    daemon = _daemon('gateway', folder / 'gateway.ini', ports)
    control = daemon
    if not has_control_role:
        control_ports = free_ports(3)
        control = _daemon('control', folder / 'control.ini', control_ports)
        control.settings.write_text(
            gateway_settings(control_ports, folder / 'data')
        )
        text = gateway_settings(
            ports, folder / 'data', leader_port=control_ports[2]
        )
    text = text.replace(_SMALL_BUDGET, '\n'.join(options))
    if memory_mb is not None:
        text = text.replace(_INSTANCE, f'{_INSTANCE}\nmemory_mb = {memory_mb}')
    daemon.settings.write_text(text)
    # Each daemon once, the control group first.
    daemons = list({control.name: control, daemon.name: daemon}.values())
    for each in daemons:
        each.start()
    if max_descriptors is not None:
        _limit_descriptors(daemon.pid, max_descriptors)
    stopped = threading.Event()
    documents = [_announcement('desk', 't1', target)]
    documents.extend(
        _announcement(OTHER_SERVICE, name, other)
        for name, other in (others or {}).items()
    )
    try:
        _configure(control, _change(limits))
        _wait_until_fresh(daemon)
        _announce(daemon, documents)
        threading.Thread(
            target=_keep_announcing,
            args=(daemon, documents, stopped),
            daemon=True,
        ).start()
        yield GatewayProcess(daemon, ports[0])
    finally:
        stopped.set()
        stop_all(daemons)


def _daemon(name: str, path: Path, ports: list[int]) -> DaemonProcess:
    return DaemonProcess(
        name, '127.0.0.1', 'gateway', path, admin_port=ports[1]
    )


def _limit_descriptors(pid: int, count: int) -> None:
    """Set the limit on open descriptors of a process that starts.

    The process of the tests may have more of them open.
    """
    _soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, hard_limit))


def _change(limits: LimitsDocument | None) -> ConfigurationReplace:
    """Return a configuration with a route to each of the two services."""
    change = with_route_to(configuration(profile=_REPEATABLE), OTHER_SERVICE)
    if limits is None:
        return change
    return change.model_copy(update={'limits': limits})


def _configure(daemon: DaemonProcess, change: ConfigurationReplace) -> None:
    document = {
        'request_id': uuid.uuid4().hex,
        'command': 'configuration.replace',
        'arguments': change.model_dump(mode='json'),
    }
    end_s = time.monotonic() + _START_TIMEOUT_S
    while not (_is_accepted(daemon, document) and daemon.is_fresh()):
        if daemon.process is not None and daemon.process.poll() is not None:
            log = daemon.settings.with_suffix('.log')
            raise RuntimeError(f'the gateway has ended; its log is {log}')
        if time.monotonic() > end_s:
            raise TimeoutError(f'no configuration within {_START_TIMEOUT_S} s')
        time.sleep(_POLL_S)


def _wait_until_fresh(daemon: DaemonProcess) -> None:
    end_s = time.monotonic() + _START_TIMEOUT_S
    while not daemon.is_fresh():
        if time.monotonic() > end_s:
            raise TimeoutError(f'{daemon.name} has no configuration in time')
        time.sleep(_POLL_S)


def _is_accepted(daemon: DaemonProcess, document: object) -> bool:
    try:
        daemon.call('POST', '/v1/changes', document)
    except (AdminError, urllib3.exceptions.HTTPError):
        return False
    return True


def _announcement(
    service: str, name: str, target: LoopbackTarget
) -> dict[str, object]:
    return {
        'service': service,
        'target_id': name,
        'address': f'127.0.0.1:{target.port}',
        'region': 'north',
        'failure_domain': 'north-a',
        'slots': _TARGET_SLOTS,
    }


def _announce(
    daemon: DaemonProcess, documents: Sequence[dict[str, object]]
) -> None:
    for document in documents:
        daemon.call('POST', '/targets/announce', document)


def _keep_announcing(
    daemon: DaemonProcess,
    documents: Sequence[dict[str, object]],
    stopped: threading.Event,
) -> None:
    while not stopped.wait(_ANNOUNCE_INTERVAL_S):
        # The test sees a gateway that has ended or does not answer.
        with suppress(AdminError, urllib3.exceptions.HTTPError):
            _announce(daemon, documents)

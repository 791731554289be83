"""Control instances and gateways in one process, with callers over HTTP."""

import json
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import TypeVar

from ..control.authority import hash_key
from ..control.configuration import (
    AccountDocument,
    ConfigurationReplace,
    Objects,
    ProfileDocument,
    RouteDocument,
    ServiceDocument,
)
from ..control.log import ControlLog
from ..control.view import ControlView
from ..core.clock import monotonic_s
from ..core.errors import UnavailableError
from ..core.kernel import Kernel
from ..operators.actions import OperatorActions
from ..targets.announcement import Announcement
from ..targets.table import TargetTable
from .builders import free_ports
from .fleet import LinkFaults, build_settings
from .gateway import (
    ScriptedHttpTarget,
    read_message,
    request_bytes,
)

_READY_TIMEOUT_S = 30.0
_POLL_S = 0.05
_MAX_CALLERS = 48
_STATUS_OK = 200

ResultT = TypeVar('ResultT')

_SETTINGS = """\
[instance]
name = {name}
region = {region}
failure_domain = {failure_domain}
roles = {role}
{data_dir}
[regions]
{regions}
[listen]
caller = 127.0.0.1:{ports[0]}
admin = 127.0.0.1:{ports[1]}
peer = 127.0.0.1:{ports[2]}
[peers]
seeds = {seeds}
probe_interval_s = 0.5
probe_timeout_s = 0.25
suspect_timeout_s = 1.5
[control]
initial_members = {members}
[limits]
lease_s = {lease_s}
floor_percent = 75
[targets]
lease_s = 600s
[gateway]
grace_s = 1
lookup_ttl_s = 0
serves_when_cut_off = true
"""


@dataclass(frozen=True, slots=True)
class AskedRequest:
    """A request and its answer; times are monotonic.

    ``reason`` is empty for served requests, ``status`` 0 for those without an
    answer.
    """

    account: str
    gateway: str
    sent_s: float
    answered_s: float
    status: int
    reason: str = ''

    @property
    def is_served(self) -> bool:
        """Whether a target has answered."""
        return self.status == _STATUS_OK


@dataclass(frozen=True, slots=True)
class _Instance:
    name: str
    failure_domain: str
    role: str
    ports: tuple[int, int, int]


@dataclass(slots=True)
class GatewayFleet:
    """Control instances ``c0``, ``c1`` ... and gateways ``g0``, ``g1`` ...

    Parameters
    ----------
    directory : Path
        Folder for data of the control instances.
    control_domains, gateway_domains : sequence of str
        Failure domain of each instance; the region precedes the dash.
    lease_s : float
        ``[limits] lease_s`` of all instances.
    """

    directory: Path
    control_domains: Sequence[str]
    gateway_domains: Sequence[str]
    lease_s: float = 4.0
    kernels: dict[str, Kernel] = field(default_factory=dict)
    faults: dict[str, LinkFaults] = field(default_factory=dict)
    _instances: dict[str, _Instance] = field(default_factory=dict)
    _target: ScriptedHttpTarget = field(default_factory=ScriptedHttpTarget)

    def __post_init__(self) -> None:
        """Allocate the ports."""
        places = [
            (f'c{number}', domain, 'control')
            for number, domain in enumerate(self.control_domains)
        ]
        places += [
            (f'g{number}', domain, 'gateway')
            for number, domain in enumerate(self.gateway_domains)
        ]
        for name, domain, role in places:
            caller, admin, peer = free_ports(3)
            self._instances[name] = _Instance(
                name, domain, role, (caller, admin, peer)
            )

    @property
    def names(self) -> list[str]:
        """Names of all instances."""
        return list(self._instances)

    @property
    def controls(self) -> list[str]:
        """Names of the control instances."""
        return self._names('control')

    @property
    def gateways(self) -> list[str]:
        """Names of the gateways."""
        return self._names('gateway')

    def start(self, names: Iterable[str] = ()) -> None:
        """Start instances, by default all, at the same time."""
        if not self._target.port:
            self._target.start()
        started = list(names) or self.names
        for name in started:
            kernel = Kernel(build_settings(self._settings(name)))
            self.kernels[name] = kernel
            self.faults[name] = LinkFaults(kernel)
        with ThreadPoolExecutor(len(started)) as pool:
            list(pool.map(lambda name: self.kernels[name].start(), started))
        for name in started:
            if self._instances[name].role == 'gateway':
                self._announce(name)

    def stop(self) -> None:
        """Stop all instances at the same time; none learns of it."""
        kernels = list(self.kernels.values())
        for faults in self.faults.values():
            faults.cut(*kernels)
        self.kernels.clear()
        self.faults.clear()
        with ThreadPoolExecutor(max(1, len(kernels))) as pool:
            list(pool.map(_stop, kernels))

    def leader(self) -> str:
        """Wait for a control instance with a valid lease."""
        return wait_for(
            'leader',
            lambda: next(
                (
                    name
                    for name in self.controls
                    if self.kernels[name].plugin(ControlLog).has_lease()
                ),
                '',
            ),
        )

    def silence(self, *names: str) -> None:
        """Let calls between the named and all other instances time out."""
        others = [each for each in self.kernels if each not in names]
        for name in names:
            self.faults[name].silence(*(self.kernels[each] for each in others))
        for name in others:
            self.faults[name].silence(*(self.kernels[each] for each in names))

    def restore(self) -> None:
        """End all link faults."""
        for faults in self.faults.values():
            faults.restore()

    def configure(self, change: ConfigurationReplace) -> None:
        """Put a configuration in force on all gateways."""
        self.configure_without_waiting(change)
        wait_for('configuration in force', self._is_in_force)

    def configure_without_waiting(self, change: ConfigurationReplace) -> None:
        """Put a configuration; return when it is confirmed."""
        actions = self.kernels[self.leader()].plugin(OperatorActions)

        def is_accepted() -> bool:
            try:
                return actions.replace_configuration(change).kind == 'ok'
            except UnavailableError:
                return False

        wait_for('configuration accepted', is_accepted)

    def ask(
        self,
        gateway: str,
        account: str,
        *,
        deadline_ms: int,
        number: int = 0,
        path: str = '/desk/1',
    ) -> AskedRequest:
        """Send one request over a connection of its own."""
        port = self._instances[gateway].ports[0]
        sent_s = monotonic_s()
        message = request_bytes(
            request_id=f'{account}-{number}',
            path=path,
            key=key_of(account),
            deadline_ms=deadline_ms,
        )
        try:
            with socket.create_connection(('127.0.0.1', port), 5.0) as caller:
                caller.sendall(message)
                answer = read_message(caller, bytearray())
        except OSError:
            answer = b''
        return AskedRequest(
            account,
            gateway,
            sent_s,
            monotonic_s(),
            int(answer.split(b' ')[1]) if answer else 0,
            _refusal_reason(answer),
        )

    def wait_until_served(self, account: str) -> None:
        """Wait until each gateway has served a request of an account."""
        for name in self.gateways:
            if name in self.kernels:
                wait_for(
                    f'{name} serves {account}',
                    partial(self._is_serving, name, account),
                )

    def _is_serving(self, gateway: str, account: str) -> bool:
        return self.ask(gateway, account, deadline_ms=2000).is_served

    def _names(self, role: str) -> list[str]:
        return [
            each.name for each in self._instances.values() if each.role == role
        ]

    def _is_in_force(self) -> bool:
        views = [kernel.plugin(ControlView) for kernel in self.kernels.values()]
        return all(
            view.state.configuration.number and view.is_fresh()
            for view in views
        )

    def _announce(self, name: str) -> None:
        instance = self._instances[name]
        self.kernels[name].plugin(TargetTable).announce(
            Announcement(
                service='desk',
                target_id=f't-{instance.failure_domain}',
                address=f'127.0.0.1:{self._target.port}',
                region=_region(instance.failure_domain),
                failure_domain=instance.failure_domain,
                slots=100,
            )
        )

    def _settings(self, name: str) -> str:
        instance = self._instances[name]
        is_control = instance.role == 'control'
        controls = [self._instances[each] for each in self.controls]
        domains = {*self.control_domains, *self.gateway_domains}
        return _SETTINGS.format(
            name=name,
            region=_region(instance.failure_domain),
            failure_domain=instance.failure_domain,
            role=instance.role,
            data_dir=f'data_dir = {self.directory / name}'
            if is_control
            else '',
            regions='\n'.join(f'{each} = {_region(each)}' for each in domains),
            ports=instance.ports,
            seeds=', '.join(f'127.0.0.1:{each.ports[2]}' for each in controls),
            members=', '.join(
                f'{each.name}=127.0.0.1:{each.ports[2]}' for each in controls
            ),
            lease_s=self.lease_s,
        )


@contextmanager
def started_fleet(
    fleet: GatewayFleet, change: ConfigurationReplace
) -> Iterator[GatewayFleet]:
    """Run a fleet with a configuration until the block ends."""
    try:
        fleet.start()
        fleet.configure(change)
        yield fleet
    finally:
        fleet.stop()


def key_of(account: str) -> str:
    """Return the key of a client account of `accounts_configuration`."""
    return f'key-of-{account}'


def accounts_configuration(
    rates: dict[str, tuple[float, float]],
    *,
    number: int = 1,
    added_prefixes: Iterable[str] = (),
) -> ConfigurationReplace:
    """Return a configuration with a route below ``/desk/``.

    Parameters
    ----------
    rates : dict
        Rate per second and burst of each client account; a rate of 0 is no
        limit.
    number : int
        Number of the configuration, based on the one before.
    added_prefixes : iterable of str
        Path prefixes of further routes.
    """
    return ConfigurationReplace(
        number=number,
        based_on=number - 1,
        objects=Objects(
            profiles={'counter': ProfileDocument(is_repeatable=True)},
            services={'desk': ServiceDocument(profile='counter')},
            routes={
                prefix.strip('/'): RouteDocument(
                    host='shop.example',
                    path_prefix=prefix,
                    profile='counter',
                    services=('desk',),
                    weights=(1.0,),
                )
                for prefix in ('/desk/', *added_prefixes)
            },
            accounts={
                name: AccountDocument(
                    key_hashes=(hash_key(key_of(name)),),
                    rate_per_s=rate_per_s,
                    burst=burst,
                )
                for name, (rate_per_s, burst) in rates.items()
            },
        ),
    )


def ask_evenly(
    fleet: GatewayFleet,
    per_s: dict[str, float],
    *,
    duration_s: float,
    deadline_ms: int,
) -> list[AskedRequest]:
    """Send requests at even intervals to one running gateway after the other.

    Parameters
    ----------
    fleet : GatewayFleet
        The fleet.
    per_s : dict
        Requests per second of each client account.
    duration_s : float
        Time over which requests are sent.
    deadline_ms : int
        Time that each request is given.
    """
    gateways = [each for each in fleet.gateways if each in fleet.kernels]
    due = sorted(
        (number / rate + place * 0.01, number, place, account)
        for place, (account, rate) in enumerate(per_s.items())
        for number in range(int(duration_s * rate))
    )
    started_s = monotonic_s()
    with ThreadPoolExecutor(_MAX_CALLERS) as pool:
        pending = []
        for at_s, number, place, account in due:
            time.sleep(max(0.0, started_s + at_s - monotonic_s()))
            gateway = gateways[(number + place) % len(gateways)]
            pending.append(
                pool.submit(
                    fleet.ask,
                    gateway,
                    account,
                    deadline_ms=deadline_ms,
                    number=number,
                )
            )
        return [each.result() for each in pending]


class Flood:
    """Callers that send requests of one account without a pause to gateways.

    Parameters
    ----------
    fleet : GatewayFleet
        The fleet.
    account : str
        Client account.
    callers_per_gateway : int
        Callers of each gateway; each waits for its answer and sends again.
    deadline_ms : int
        Time that each request is given.
    """

    _PAUSE_S = 0.02

    def __init__(
        self,
        fleet: GatewayFleet,
        account: str,
        *,
        callers_per_gateway: int = 3,
        deadline_ms: int = 500,
    ) -> None:
        """Start without requests."""
        self._fleet = fleet
        self._account = account
        self._deadline_ms = deadline_ms
        self._ended = threading.Event()
        self._asked: list[AskedRequest] = []
        self._threads = [
            threading.Thread(target=self._send, args=(gateway,), daemon=True)
            for gateway in fleet.gateways
            for _caller in range(callers_per_gateway)
        ]

    def start(self) -> None:
        """Start the callers."""
        for thread in self._threads:
            thread.start()

    def end(self) -> list[AskedRequest]:
        """Stop the callers and return all requests."""
        self._ended.set()
        for thread in self._threads:
            thread.join()
        return self._asked

    def _send(self, gateway: str) -> None:
        while not self._ended.wait(self._PAUSE_S):
            self._asked.append(
                self._fleet.ask(
                    gateway, self._account, deadline_ms=self._deadline_ms
                )
            )


def wait_for(what: str, condition: Callable[[], ResultT]) -> ResultT:
    """Return the first true value of ``condition``."""
    deadline_s = monotonic_s() + _READY_TIMEOUT_S
    while monotonic_s() < deadline_s:
        found = condition()
        if found:
            return found
        time.sleep(_POLL_S)
    raise TimeoutError(f'{what}: not within {_READY_TIMEOUT_S} s')


def _stop(kernel: Kernel) -> None:
    # Only a drain closes the listener of a gateway.
    kernel.drain(timeout_s=0)
    kernel.stop()


def _refusal_reason(answer: bytes) -> str:
    head, _blank, body = answer.partition(b'\r\n\r\n')
    if b'application/problem+json' not in head:
        return ''
    return str(json.loads(body)['reason'])


def _region(failure_domain: str) -> str:
    return failure_domain.partition('-')[0]

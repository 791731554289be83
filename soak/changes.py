"""Changes of the control state while instances are paused, killed and restarted.

Meanwhile callers send a request that crashes its targets, see `deadly`, and
others keep their connections, see `open_connections`.

Checks, from what the admin ports answer: a confirmed change is in force in time
on every instance that can reach the control group, no process goes back to an
older state, and nothing that was confirmed is lost at the end.
"""

import itertools
import json
import random
import signal
import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3

from oleanderpin.testing.processes import (
    AdminError,
    DaemonProcess,
    build_processes,
    stop_all,
)

from . import deadly, open_connections

CONTROL = 3
GATEWAYS = 12
_DOMAINS = (
    ('north', 'north-a'),
    ('central', 'central-a'),
    ('south', 'south-a'),
)
_START_TIMEOUT_S = 60.0
# The users' strictest bounds: time until a change is in force, and how much
# longer it may take while the control group is disturbed.
APPLY_S = 2.0
DISTURBED_S = 5.0
# An instance counts as calm this long after its last fault.
CALM_S = 3.0
_POLL_INTERVAL_S = 0.1
_CHANGE_INTERVAL_S = (0.2, 0.6)
_FAULT_INTERVAL_S = (0.5, 2.0)
_FAULT_LENGTH_S = (1.0, 5.0)
_MAX_FAULTY_GATEWAYS = 4
_RELOADS = 5
_CONVERGE_TIMEOUT_S = 20.0
_ANSWER_TIMEOUT_S = 1.0
_UNANSWERED_TIMEOUT_S = 30.0


@dataclass(slots=True)
class Confirmed:
    """A change that was confirmed to the operator."""

    name: str
    revision: int
    confirmed_s: float


@dataclass(slots=True)
class Observations:
    """What happened in a run; all times are monotonic seconds."""

    confirmed: list[Confirmed] = field(default_factory=list)
    polls: int = 0
    problems: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    requests: str = ''
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add_problem(self, problem: str) -> None:
        """Record a broken promise."""
        with self.lock:
            self.problems.append(problem)


class Fleet:
    """The daemons and when each of them was last disturbed."""

    def __init__(self, folder: Path, network: str, seen: Observations) -> None:
        """Write the settings; `start` starts the daemons."""
        self.seen = seen
        self.daemons = build_processes(
            folder,
            network=network,
            control=CONTROL,
            gateways=GATEWAYS,
            domains=_DOMAINS,
        )
        self.stops = itertools.count()
        self.starts: defaultdict[str, int] = defaultdict(int)
        self.kills: defaultdict[str, int] = defaultdict(int)
        self._disturbed_s: dict[str, float] = {}
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start all daemons and wait until they are fresh."""
        for daemon in self.daemons:
            daemon.start()
        end_s = time.monotonic() + _START_TIMEOUT_S
        while not all(each.is_fresh() for each in self.daemons):
            if time.monotonic() > end_s:
                raise TimeoutError('not all daemons became fresh')
            time.sleep(0.1)

    def of_role(self, role: str) -> list[DaemonProcess]:
        """Return the daemons of a role."""
        return [each for each in self.daemons if each.role == role]

    def begin_fault(self, daemon: DaemonProcess) -> None:
        """Record that a daemon is disturbed from now on."""
        with self._lock:
            self._disturbed_s[daemon.name] = float('inf')

    def end_fault(self, daemon: DaemonProcess) -> None:
        """Record that a daemon is no longer disturbed."""
        with self._lock:
            self._disturbed_s[daemon.name] = time.monotonic()

    def is_faulty(self, daemon: DaemonProcess) -> bool:
        """Return whether a daemon is disturbed now."""
        with self._lock:
            return self._disturbed_s.get(daemon.name) == float('inf')

    def calm_since_s(self, daemons: list[DaemonProcess]) -> float:
        """Return from when on none of the daemons has been disturbed."""
        with self._lock:
            return CALM_S + max(
                self._disturbed_s.get(each.name, float('-inf'))
                for each in daemons
            )


class Changer:
    """Makes changes one after another, each until it is confirmed."""

    def __init__(
        self, fleet: Fleet, seen: Observations, choose: random.Random
    ) -> None:
        """Start without changes."""
        self._fleet = fleet
        self._seen = seen
        self._choose = choose

    def run(self, stopped: threading.Event) -> None:
        """Make changes until ``stopped`` is set."""
        for number in itertools.count():
            if stopped.wait(self._choose.uniform(*_CHANGE_INTERVAL_S)):
                return
            self._make_change(f'a{number}')

    def _make_change(self, name: str) -> None:
        document = {
            'request_id': f'soak-{name:>08}',
            'command': 'account.put',
            'arguments': {'name': name, 'rate_per_s': 10, 'burst': 10},
        }
        end_s = time.monotonic() + _UNANSWERED_TIMEOUT_S
        while time.monotonic() < end_s:
            daemon = self._choose.choice(self._fleet.daemons)
            try:
                answer = daemon.call(
                    'POST',
                    '/v1/changes',
                    document,
                    timeout_s=_ANSWER_TIMEOUT_S,
                )
            except AdminError as error:
                if error.status != 503:
                    self._seen.add_problem(f'refused: {error}')
                    return
                continue
            except urllib3.exceptions.HTTPError:
                # The same change is sent again, to another instance.
                continue
            self._note_confirmed(name, answer)
            return
        self._seen.add_problem(
            f'{name}: no answer within {_UNANSWERED_TIMEOUT_S} s'
        )

    def _note_confirmed(self, name: str, answer: str) -> None:
        revision = json.loads(answer)['revision']
        with self._seen.lock:
            self._seen.confirmed.append(
                Confirmed(name, revision, time.monotonic())
            )


class Poller:
    """Reads the revision of one daemon again and again."""

    def __init__(
        self, fleet: Fleet, seen: Observations, daemon: DaemonProcess
    ) -> None:
        """Start without readings."""
        self._fleet = fleet
        self._seen = seen
        self._daemon = daemon
        self._last: tuple[int, int] = (0, 0)

    def run(self, stopped: threading.Event) -> None:
        """Poll until ``stopped`` is set."""
        while not stopped.wait(_POLL_INTERVAL_S):
            start = self._fleet.starts[self._daemon.name]
            sent_s = time.monotonic()
            try:
                status = self._daemon.status(timeout_s=_ANSWER_TIMEOUT_S)
            except (AdminError, urllib3.exceptions.HTTPError):
                # Paused, killed or starting; an instance that never answers
                # again fails the check at the end.
                continue
            if start == self._fleet.starts[self._daemon.name]:
                self.check(status['revision'], sent_s, start)

    def check(self, revision: int, sent_s: float, start: int) -> None:
        """Check one reading."""
        self._seen.polls += 1
        last_start, last_revision = self._last
        if start == last_start and revision < last_revision:
            self._seen.add_problem(
                f'{self._daemon.name} went back from revision '
                f'{last_revision} to {revision}'
            )
        self._last = (start, revision)
        if self._fleet.calm_since_s([self._daemon]) > sent_s:
            return
        bound_s = APPLY_S
        if self._fleet.calm_since_s(self._fleet.of_role('control')) > sent_s:
            bound_s += DISTURBED_S
        for change in reversed(self._seen.confirmed):
            age_s = sent_s - change.confirmed_s
            if age_s > bound_s:
                if revision < change.revision:
                    self._seen.add_problem(
                        f'{self._daemon.name} at revision {revision} '
                        f'{age_s:.2f} s after {change.revision} was confirmed'
                    )
                return


class Faults:
    """Disturbs daemons at random, several at a time.

    Parameters
    ----------
    fleet : Fleet
        The daemons.
    seen : Observations
        Where the faults are listed.
    choose : Random
        Source of all choices.
    """

    def __init__(
        self, fleet: Fleet, seen: Observations, choose: random.Random
    ) -> None:
        """Start without faults."""
        self._fleet = fleet
        self._seen = seen
        self._choose = choose
        self._running: list[threading.Thread] = []

    def run(self, stopped: threading.Event) -> None:
        """Disturb daemons until ``stopped`` is set, then end all faults."""
        while not stopped.wait(self._choose.uniform(*_FAULT_INTERVAL_S)):
            daemon = self._next_daemon()
            fault = self._choose.choice((_pause, _kill, _terminate))
            length_s = self._choose.uniform(*_FAULT_LENGTH_S)
            if daemon is not None:
                self._begin(daemon, fault, length_s)
        for thread in self._running:
            thread.join()

    def _next_daemon(self) -> DaemonProcess | None:
        """Return a daemon that may be disturbed now.

        One control instance at a time, so that a majority stays calm.
        """
        control = self._fleet.of_role('control')
        gateways = self._fleet.of_role('gateway')
        daemon = self._choose.choice(
            self._choose.choice((control, gateways, gateways))
        )
        if self._fleet.is_faulty(daemon):
            return None
        if daemon.role == 'control':
            is_calm = self._fleet.calm_since_s(control) < time.monotonic()
            return daemon if is_calm else None
        faulty = sum(self._fleet.is_faulty(each) for each in gateways)
        return daemon if faulty < _MAX_FAULTY_GATEWAYS else None

    def _begin(
        self, daemon: DaemonProcess, fault: Any, length_s: float
    ) -> None:
        self._fleet.begin_fault(daemon)
        self._seen.faults.append(f'{fault.__name__[1:]} {daemon.name}')
        thread = threading.Thread(
            target=self._disturb, args=(daemon, fault, length_s), daemon=True
        )
        self._running.append(thread)
        thread.start()

    def _disturb(
        self, daemon: DaemonProcess, fault: Any, length_s: float
    ) -> None:
        fault(self._fleet, daemon, length_s)
        end_s = time.monotonic() + _START_TIMEOUT_S
        while not daemon.is_fresh():
            if time.monotonic() > end_s:
                self._seen.add_problem(f'{daemon.name} did not become fresh')
                return
            time.sleep(_POLL_INTERVAL_S)
        self._fleet.end_fault(daemon)


def _pause(_fleet: Fleet, daemon: DaemonProcess, length_s: float) -> None:
    daemon.send_signal(signal.SIGSTOP)
    time.sleep(length_s)
    daemon.send_signal(signal.SIGCONT)


def _kill(fleet: Fleet, daemon: DaemonProcess, length_s: float) -> None:
    fleet.kills[daemon.name] += 1
    daemon.kill()
    time.sleep(length_s)
    fleet.starts[daemon.name] += 1
    daemon.start()


def _terminate(fleet: Fleet, daemon: DaemonProcess, length_s: float) -> None:
    send_stop = _STOPS[next(fleet.stops) % len(_STOPS)]
    send_stop(daemon, length_s)
    exit_code = daemon.wait()
    if exit_code:
        fleet.seen.add_problem(
            f'{daemon.name} ended with {exit_code} after SIGTERM '
            f'({send_stop.__name__[1:]})'
        )
    fleet.starts[daemon.name] += 1
    daemon.start()


def _stop(daemon: DaemonProcess, _length_s: float) -> None:
    daemon.send_signal(signal.SIGTERM)


def _stop_while_paused(daemon: DaemonProcess, length_s: float) -> None:
    daemon.send_signal(signal.SIGSTOP)
    daemon.send_signal(signal.SIGTERM)
    time.sleep(length_s)
    daemon.send_signal(signal.SIGCONT)


def _stop_behind_reloads(daemon: DaemonProcess, _length_s: float) -> None:
    for _each in range(_RELOADS):
        daemon.send_signal(signal.SIGHUP)
    daemon.send_signal(signal.SIGTERM)


# Taken in turn, so that a seed chooses the same faults as before.
_STOPS = (_stop, _stop_while_paused, _stop_behind_reloads)


def check_end(fleet: Fleet, seen: Observations) -> None:
    """Check that all instances hold what was confirmed."""
    names = {change.name for change in seen.confirmed}
    last = max((change.revision for change in seen.confirmed), default=0)
    end_s = time.monotonic() + _CONVERGE_TIMEOUT_S
    for daemon in fleet.daemons:
        while time.monotonic() < end_s:
            if daemon.is_fresh() and daemon.status()['revision'] >= last:
                break
            time.sleep(_POLL_INTERVAL_S)
        accounts = json.loads(daemon.call('GET', '/v1/accounts'))
        lost = sorted(names - {each['name'] for each in accounts})
        if lost:
            seen.add_problem(f'{daemon.name} has lost {lost}')


def run(
    seed: int, *, duration_s: float, folder: Path, network: str
) -> Observations:
    """Run one fleet with faults chosen by a seed.

    Parameters
    ----------
    seed : int
        Seed of all choices; their times depend on the machine.
    duration_s : float
        How long changes and faults go on, in seconds.
    folder : Path
        Folder for settings, logs and data.
    network : str
        First three numbers of the loopback addresses.
    """
    seen = Observations()
    fleet = Fleet(folder, network, seen)
    stopped = threading.Event()
    try:
        fleet.start()
        deadly.configure(fleet)
        targets = deadly.Targets(fleet, random.Random(f'{seed}/targets'))
        callers = random.Random(f'{seed}/callers')
        keepers = open_connections.Callers(
            fleet, seen, random.Random(f'{seed}/open-connections')
        )
        tasks = [
            targets,
            keepers,
            deadly.Callers(fleet, seen, callers, targets),
            Changer(fleet, seen, random.Random(f'{seed}/changes')),
            Faults(fleet, seen, random.Random(f'{seed}/faults')),
            *(Poller(fleet, seen, each) for each in fleet.daemons),
        ]
        threads = [
            threading.Thread(target=task.run, args=(stopped,), daemon=True)
            for task in tasks
        ]
        for thread in threads:
            thread.start()
        stopped.wait(duration_s)
        stopped.set()
        for thread in threads:
            thread.join()
        check_end(fleet, seen)
        seen.requests = f'{deadly.summary(targets)}, {keepers.summary()}'
    finally:
        stopped.set()
        stop_all(fleet.daemons)
    return seen

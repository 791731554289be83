"""Clients of the peer port that do not behave, against a real process."""

import random
import socket
import time
import zlib
from pathlib import Path

import pytest

from ...testing.listener_crowds import (
    answers_peers,
    control_daemon,
    crowd_at,
    descriptors,
    framed,
    is_alive,
    log_lines,
    memory_mb,
    peer_call,
    varint,
)
from ...testing.processes import PEER_PORT

MAX_MEMORY_MB = 200
MB = 1024 * 1024


def test_port_serves_peers_after_descriptors_ran_out(tmp_path: Path) -> None:
    """Guards against a peer port that is closed for good.

    The thread that accepts connections ended with the first one for which there
    was no descriptor.
    """
    with control_daemon(tmp_path, max_descriptors=120) as daemon:
        with crowd_at(daemon, PEER_PORT) as crowd:
            crowd.connect(200)
            assert descriptors(daemon) < 110
            assert answers_peers(daemon)
        assert answers_peers(daemon)
        assert is_alive(daemon)


def test_strangers_without_a_call_leave_room_for_peers(tmp_path: Path) -> None:
    """Guards against idle connections that shut peers out for two minutes."""
    with control_daemon(tmp_path) as daemon:
        with crowd_at(daemon, PEER_PORT) as crowd:
            crowd.connect(1100)
            assert answers_peers(daemon)
        assert is_alive(daemon)


def test_frames_that_stop_short_take_bounded_memory(tmp_path: Path) -> None:
    """Guards against frames that are held until they are complete, uncounted.

    The frames have 8 MB each, which a peer may send.
    """
    settings = [f'max_received_bytes = {16 * MB}']
    with control_daemon(tmp_path, peers=settings) as daemon:
        with crowd_at(daemon, PEER_PORT) as crowd:
            crowd.connect(30)
            crowd.send(framed(b'\x82' * 8 * MB)[:-1])
            assert answers_peers(daemon)
            assert memory_mb(daemon) < MAX_MEMORY_MB
        assert is_alive(daemon)


def test_compressed_frames_take_bounded_memory(tmp_path: Path) -> None:
    """Guards against short frames that expand to more than the machine has."""
    text = varint(40 * MB) + b'\0' * 40 * MB
    call = peer_call('Raft:identity', b'\x18' + text + b'\0')
    settings = [f'max_received_bytes = {16 * MB}']
    with control_daemon(tmp_path, peers=settings) as daemon:
        with crowd_at(daemon, PEER_PORT) as crowd:
            crowd.connect(8)
            crowd.send(framed(zlib.compress(call, 9)))
            crowd.await_ends()
            assert answers_peers(daemon)
            assert memory_mb(daemon) < MAX_MEMORY_MB
        assert is_alive(daemon)


@pytest.mark.parametrize('count', [99_000, 5_000_000])
def test_lists_of_empty_records_take_bounded_memory(
    tmp_path: Path, count: int
) -> None:
    """Guards against records that take one byte of a call and 80 in memory."""
    records = b'\x1c\x39\xfc' + varint(count) + b'\0' * count
    with control_daemon(tmp_path) as daemon:
        with crowd_at(daemon, PEER_PORT) as crowd:
            crowd.connect(4)
            crowd.send(framed(peer_call('Exchange:push', records + b'\0\0')))
            crowd.await_ends()
            assert answers_peers(daemon)
            assert memory_mb(daemon) < MAX_MEMORY_MB
        assert is_alive(daemon)


def test_string_over_many_frames_takes_bounded_memory(tmp_path: Path) -> None:
    """Guards against frames that are joined while a string lacks bytes."""
    settings = [f'max_received_bytes = {16 * MB}']
    first = peer_call('Exchange:push', b'\x1c\x18' + varint(15 * MB))
    with control_daemon(tmp_path, peers=settings) as daemon:
        with crowd_at(daemon, PEER_PORT) as crowd:
            crowd.connect(16)
            crowd.send(framed(first) + framed(b'a' * MB) * 14)
            assert answers_peers(daemon)
            assert memory_mb(daemon) < MAX_MEMORY_MB
        assert is_alive(daemon)


def test_malformed_messages_do_not_fill_the_log(tmp_path: Path) -> None:
    """Guards against a traceback in the log for each malformed message."""
    numbers = random.Random(1)
    call = framed(peer_call('Exchange:push', b'\x1c\x39\x1c\0\0\0'))
    with control_daemon(tmp_path) as daemon:
        lines = log_lines(daemon)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _number in range(20_000):
                payload = numbers.randbytes(200)
                sender.sendto(payload, (daemon.host, PEER_PORT))
        with crowd_at(daemon, PEER_PORT) as crowd:
            crowd.connect(1)
            crowd.send(call * 1000)
            time.sleep(2)
            assert answers_peers(daemon)
        assert log_lines(daemon) - lines < 300
        assert is_alive(daemon)

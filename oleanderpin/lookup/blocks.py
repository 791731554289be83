"""Client blocks: longest-prefix match from a client address to a site."""

import heapq
import logging
import socket
import threading
from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from ..control.state import Block, ControlState
from ..control.view import ControlView
from ..core.plugin import Plugin, plugins

_LOG = logging.getLogger(__name__)

_IPV4_BITS = 32
_IPV6_BITS = 128
_HALF_BITS = 64
_HALF_MASK = (1 << _HALF_BITS) - 1
_MAPPED_PREFIX = bytes(10) + b'\xff\xff'
# A packed block holds the start of its range, its prefix length and the number
# of its site, so that the order of integers puts outer blocks before inner.
_SITE_BITS = 24
_SITE_MASK = (1 << _SITE_BITS) - 1
_LENGTH_BITS = 8
_LENGTH_MASK = (1 << _LENGTH_BITS) - 1
_NO_SITE = 0
# A build works for about 1 ms at a time, below the 5 ms after which the
# interpreter lets another thread run, and then pauses.
_BLOCKS_PER_PART = 500
_PAUSE_S = 0.001
# Operators load blocks in many changes; a build after each one would keep a
# core busy.
_MIN_INTERVAL_S = 2.0

Pause = Callable[[], object]


def _no_pause() -> None:
    """Continue at once."""


class _Ranges:
    """Disjoint ranges of addresses in sorted arrays.

    Each range extends to the start of the next one.
    """

    def __init__(self, bits: int) -> None:
        """Start with one range that belongs to no site."""
        self._last_address = (1 << bits) - 1
        self._is_wide = bits > _HALF_BITS
        # The arrays have no 128-bit items; an IPv6 start is in two halves.
        self._starts = array('Q' if self._is_wide else 'I', (0,))
        self._lower = array('Q', (0,) if self._is_wide else ())
        self._sites = array('I', (_NO_SITE,))
        self._newest_start = 0

    def __len__(self) -> int:
        return len(self._sites)

    def site_number(self, address: int) -> int:
        """Return the number of the site of the range with ``address``."""
        if not self._is_wide:
            return self._sites[bisect_right(self._starts, address) - 1]
        upper = address >> _HALF_BITS
        first = bisect_left(self._starts, upper)
        end = bisect_right(self._starts, upper, first)
        position = bisect_right(self._lower, address & _HALF_MASK, first, end)
        return self._sites[position - 1]

    def fill(self, packed: Iterable[int], pause: Pause) -> None:
        """Add sorted packed blocks, of which inner ones take precedence."""
        bits = self._last_address.bit_length()
        outer: list[tuple[int, int]] = []
        for count, block in enumerate(packed, 1):
            if not count % _BLOCKS_PER_PART:
                pause()
            site = block & _SITE_MASK
            length = (block >> _SITE_BITS) & _LENGTH_MASK
            start = block >> (_SITE_BITS + _LENGTH_BITS)
            while outer and outer[-1][0] < start:
                self._close(outer)
            self._begin(start, site)
            outer.append((start + (1 << (bits - length)) - 1, site))
        while outer:
            self._close(outer)

    def _close(self, outer: list[tuple[int, int]]) -> None:
        last, _site = outer.pop()
        if last < self._last_address:
            self._begin(last + 1, outer[-1][1] if outer else _NO_SITE)

    def _begin(self, start: int, site: int) -> None:
        if start == self._newest_start:
            self._sites[-1] = site
        elif self._sites[-1] != site:
            self._newest_start = start
            if self._is_wide:
                self._starts.append(start >> _HALF_BITS)
                self._lower.append(start & _HALF_MASK)
            else:
                self._starts.append(start)
            self._sites.append(site)


class BlockIndex:
    """Immutable longest-prefix match over client blocks.

    Parameters
    ----------
    blocks : mapping of str to Block
        Blocks by CIDR.
    pause : callable, optional
        Called about once a millisecond during the build.
    """

    def __init__(
        self, blocks: Mapping[str, Block], *, pause: Pause = _no_pause
    ) -> None:
        """Build the ranges."""
        self._site_names: list[str | None] = [None]
        self._ipv4 = _Ranges(_IPV4_BITS)
        self._ipv6 = _Ranges(_IPV6_BITS)
        chunks4, chunks6 = self._pack(blocks.values(), pause)
        # Sorting all at once would hold the interpreter lock throughout.
        self._ipv4.fill(heapq.merge(*chunks4), pause)
        self._ipv6.fill(heapq.merge(*chunks6), pause)

    def __len__(self) -> int:
        """Return the number of ranges."""
        return len(self._ipv4) + len(self._ipv6)

    def site_of(self, client_ip: str) -> str | None:
        """Return the site of the longest block that contains an address.

        Parameters
        ----------
        client_ip : str
            IPv4 or IPv6 address; an IPv4-mapped one counts as IPv4.

        Returns
        -------
        str or None
            None if no block contains the address, or it is not an address.
        """
        try:
            address = _parse(client_ip)
        except (OSError, ValueError):
            return None
        ranges = self._ipv6 if len(address) > 4 else self._ipv4
        number = ranges.site_number(int.from_bytes(address))
        return self._site_names[number]

    def _pack(
        self, blocks: Iterable[Block], pause: Pause
    ) -> tuple[list[list[int]], list[list[int]]]:
        numbers: dict[str, int] = {}
        chunks4: list[list[int]] = []
        chunks6: list[list[int]] = []
        for part in _parts(blocks):
            packed4: list[int] = []
            packed6: list[int] = []
            for block in part:
                number = numbers.setdefault(block.site, len(numbers) + 1)
                packed = packed6 if ':' in block.cidr else packed4
                packed.append(_pack_block(block.cidr, number))
            chunks4.append(sorted(packed4))
            chunks6.append(sorted(packed6))
            pause()
        self._site_names.extend(numbers)
        return chunks4, chunks6


@plugins.register('client-blocks')
class ClientBlocks(Plugin):
    """Keeps the index of the blocks in the control state."""

    def __init__(self, kernel: Any) -> None:
        """Follow the control state with an empty index."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)
        self._changed = threading.Event()
        self._built_from: Mapping[str, Block] | None = None
        self._index = BlockIndex({})
        self._view.subscribe(self._note)

    def start(self) -> None:
        """Start the thread that builds the index."""
        threading.Thread(
            target=self._run, name='client-blocks', daemon=True
        ).start()

    def stop(self) -> None:
        """Let the thread see that the instance stops."""
        self._changed.set()

    def site_of(self, client_ip: str) -> str | None:
        """Return the site of a client; see `BlockIndex.site_of`."""
        return self._index.site_of(client_ip)

    def rebuild(self) -> bool:
        """Build the index again if the table of blocks has changed.

        Returns
        -------
        bool
            Whether it was built.
        """
        blocks = self._view.state.blocks
        if blocks is self._built_from:
            return False
        self._index = BlockIndex(blocks, pause=self._pause)
        self._built_from = blocks
        return True

    def _note(self, state: ControlState) -> None:
        if state.blocks is not self._built_from:
            self._changed.set()

    def _run(self) -> None:
        while not self.kernel.stopping.is_set():
            self._changed.wait()
            self._changed.clear()
            try:
                self.rebuild()
            except Exception:
                _LOG.exception('client blocks not built; the last ones stay')
            self.kernel.wait_while_running(_MIN_INTERVAL_S)

    def _pause(self) -> None:
        self.kernel.stopping.wait(_PAUSE_S)


def _parts(blocks: Iterable[Block]) -> Iterator[list[Block]]:
    part: list[Block] = []
    for block in blocks:
        part.append(block)
        if len(part) == _BLOCKS_PER_PART:
            yield part
            part = []
    yield part


def _pack_block(cidr: str, site_number: int) -> int:
    text, _slash, length = cidr.partition('/')
    family = socket.AF_INET6 if ':' in text else socket.AF_INET
    # `ipaddress.ip_network` takes several times as long.
    start = int.from_bytes(socket.inet_pton(family, text))
    packed = (start << _LENGTH_BITS) | int(length)
    return (packed << _SITE_BITS) | site_number


def _parse(client_ip: str) -> bytes:
    if ':' not in client_ip:
        return socket.inet_pton(socket.AF_INET, client_ip)
    text, _percent, _scope = client_ip.partition('%')
    address = socket.inet_pton(socket.AF_INET6, text)
    if address.startswith(_MAPPED_PREFIX):
        return address[len(_MAPPED_PREFIX) :]
    return address

"""Client blocks: longest-prefix match from a client address to a site.

The blocks are flattened into sorted, disjoint ranges, so that a look-up is a
binary search. A background thread builds the index in small batches, so that
loading many blocks does not delay requests.
"""

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
from ..core.background import background_thread
from ..core.plugin import Plugin, plugins

_LOG = logging.getLogger(__name__)

_IPV4_BITS = 32
_IPV6_BITS = 128
_HALF_BITS = 64
_HALF_MASK = (1 << _HALF_BITS) - 1
_MAPPED_PREFIX = bytes(10) + b'\xff\xff'
# A packed block is one integer of the range start, prefix length and site
# number, in this order from the highest bits; sorting packed blocks puts an
# enclosing block before the blocks nested in it.
_SITE_BITS = 24
_SITE_MASK = (1 << _SITE_BITS) - 1
_LENGTH_BITS = 8
_LENGTH_MASK = (1 << _LENGTH_BITS) - 1
_NO_SITE = 0
# A build runs for about 1 ms, less than the 5 ms switch interval of the
# interpreter, and then pauses to let other threads run.
_BLOCKS_PER_BATCH = 500
_PAUSE_S = 0.001
# Minimum time between two builds. Operators load blocks in many changes; a
# build after each of them would keep a core busy.
_MIN_BUILD_INTERVAL_S = 2.0

Pause = Callable[[], object]


def _no_pause() -> None:
    """Return without pausing."""


class _RangeTable:
    """Disjoint address ranges in sorted arrays, for one address family.

    Each range extends to the start of the next one.
    """

    def __init__(self, bits: int) -> None:
        """Start with one range of all addresses that belongs to no site."""
        self._last_address = (1 << bits) - 1
        self._is_wide = bits > _HALF_BITS
        # `array` has no 128-bit items, so the start of an IPv6 range is stored
        # in two halves.
        self._starts = array('Q' if self._is_wide else 'I', (0,))
        self._lower = array('Q', (0,) if self._is_wide else ())
        self._sites = array('I', (_NO_SITE,))
        self._newest_start = 0

    def __len__(self) -> int:
        return len(self._sites)

    def site_number(self, address: int) -> int:
        """Return the site number of the range that contains ``address``."""
        if not self._is_wide:
            return self._sites[bisect_right(self._starts, address) - 1]
        upper = address >> _HALF_BITS
        first = bisect_left(self._starts, upper)
        end = bisect_right(self._starts, upper, first)
        position = bisect_right(self._lower, address & _HALF_MASK, first, end)
        return self._sites[position - 1]

    def fill(self, packed: Iterable[int], pause: Pause) -> None:
        """Add sorted packed blocks; nested blocks take precedence."""
        bits = self._last_address.bit_length()
        enclosing: list[tuple[int, int]] = []
        for count, block in enumerate(packed, 1):
            if not count % _BLOCKS_PER_BATCH:
                pause()
            site = block & _SITE_MASK
            length = (block >> _SITE_BITS) & _LENGTH_MASK
            start = block >> (_SITE_BITS + _LENGTH_BITS)
            while enclosing and enclosing[-1][0] < start:
                self._end_innermost(enclosing)
            self._begin_range(start, site)
            enclosing.append((start + (1 << (bits - length)) - 1, site))
        while enclosing:
            self._end_innermost(enclosing)

    def _end_innermost(self, enclosing: list[tuple[int, int]]) -> None:
        last, _site = enclosing.pop()
        if last < self._last_address:
            self._begin_range(
                last + 1, enclosing[-1][1] if enclosing else _NO_SITE
            )

    def _begin_range(self, start: int, site: int) -> None:
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
        Called about once a millisecond during the build, to let other threads
        run.
    """

    def __init__(
        self, blocks: Mapping[str, Block], *, pause: Pause = _no_pause
    ) -> None:
        """Build the ranges of both address families."""
        self._site_names: list[str | None] = [None]
        self._ipv4 = _RangeTable(_IPV4_BITS)
        self._ipv6 = _RangeTable(_IPV6_BITS)
        chunks4, chunks6 = self._pack(blocks.values(), pause)
        # The chunks are sorted one by one and merged, because a single sort of
        # all blocks would hold the interpreter lock until it ends.
        self._ipv4.fill(heapq.merge(*chunks4), pause)
        self._ipv6.fill(heapq.merge(*chunks6), pause)

    def __len__(self) -> int:
        """Return the number of ranges."""
        return len(self._ipv4) + len(self._ipv6)

    def site_of(self, client_ip: str) -> str | None:
        """Return the site of the longest matching block of an address.

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
        for batch in _batches(blocks):
            packed4: list[int] = []
            packed6: list[int] = []
            for block in batch:
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
    """Maintains the index of the client blocks in the control state."""

    def __init__(self, kernel: Any) -> None:
        """Subscribe to the control state; the index is empty until built."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)
        self._changed = threading.Event()
        self._built_from: Mapping[str, Block] | None = None
        self._index = BlockIndex({})
        self._view.subscribe(self._on_state_change)

    def start(self) -> None:
        """Start the thread that builds the index."""
        background_thread(self.kernel, self._run, name='client-blocks').start()

    def stop(self) -> None:
        """Wake the thread, so that it sees that the instance stops."""
        self._changed.set()

    def site_of(self, client_ip: str) -> str | None:
        """Return the site of a client; see `BlockIndex.site_of`."""
        return self._index.site_of(client_ip)

    def rebuild(self) -> bool:
        """Rebuild the index if the table of blocks has changed.

        Returns
        -------
        bool
            Whether the index was rebuilt.
        """
        blocks = self._view.state.blocks
        if blocks is self._built_from:
            return False
        self._index = BlockIndex(blocks, pause=self._pause)
        self._built_from = blocks
        return True

    def _on_state_change(self, state: ControlState) -> None:
        if state.blocks is not self._built_from:
            self._changed.set()

    def _run(self) -> None:
        while not self.kernel.stopping.is_set():
            self._changed.wait()
            self._changed.clear()
            try:
                self.rebuild()
            except Exception:
                _LOG.exception(
                    'index of client blocks not built; keeping the previous one'
                )
            self.kernel.wait_while_running(_MIN_BUILD_INTERVAL_S)

    def _pause(self) -> None:
        self.kernel.stopping.wait(_PAUSE_S)


def _batches(blocks: Iterable[Block]) -> Iterator[list[Block]]:
    batch: list[Block] = []
    for block in blocks:
        batch.append(block)
        if len(batch) == _BLOCKS_PER_BATCH:
            yield batch
            batch = []
    yield batch


def _pack_block(cidr: str, site_number: int) -> int:
    text, _slash, length = cidr.partition('/')
    family = socket.AF_INET6 if ':' in text else socket.AF_INET
    # `inet_pton` is several times as fast as `ipaddress.ip_network`.
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

"""Bounds on what targets may send before their responses are complete.

Fault: a target sends bytes without end, in a head, a body, interim responses or
responses that belong to no request, until its connection is closed. Many small
pieces cost time of the event loop rather than memory.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Literal

from ..core.memory_budget import MemoryBudget
from ..core.settings import GatewaySettings

Excess = Literal['', 'too_large', 'too_fragmented', 'no_memory']

# One of so many parts of the memory is held for incomplete responses, or more if
# a response may be larger, so that targets cannot use up what other callers need.
_MEMORY_PARTS = 2
_READ_BYTES = 65536
# A read of many pieces is followed by other work of the event loop.
_SHORT_READ_BYTES = 4096


@dataclass(slots=True)
class Received:
    """What has arrived after one request, until its response is complete.

    Parameters
    ----------
    wire_bytes : int
        Bytes of all responses, with their framing.
    payload_bytes : int
        Bytes of bodies.
    parts : int
        Fields, interim responses and pieces of a body below 256 bytes.
    """

    wire_bytes: int = 0
    payload_bytes: int = 0
    parts: int = 0

    @property
    def framing_bytes(self) -> int:
        """Bytes of heads, sizes of chunks and trailers."""
        return self.wire_bytes - self.payload_bytes


class ResponseBudget:
    """Memory of incomplete responses on all connections to targets.

    Parameters
    ----------
    settings : GatewaySettings
        The limits on one response.
    memory : MemoryBudget
        Budget that the memory counts towards.
    """

    def __init__(self, settings: GatewaySettings, memory: MemoryBudget) -> None:
        """Start without responses."""
        self.settings = settings
        self.total_bytes = 0
        self.max_bytes = min(
            memory.max_bytes,
            max(settings.max_response_bytes, memory.max_bytes // _MEMORY_PARTS),
        )
        self.memory = memory
        self.meters: set[ResponseMeter] = set()
        self._read_buffer = memoryview(bytearray(_READ_BYTES))

    def start(
        self, target: str, give_up: Callable[[Excess], None]
    ) -> 'ResponseMeter':
        """Return the meter of the response to one request.

        Parameters
        ----------
        target : str
            Address of the target.
        give_up : callable
            Ends the request and its meter, for the reason that it gets.
        """
        return ResponseMeter(self, target, give_up)

    def read_buffer(self, *, is_short: bool) -> memoryview:
        """Return the buffer for the next read on any connection."""
        size_bytes = _SHORT_READ_BYTES if is_short else _READ_BYTES
        return self._read_buffer[:size_bytes]

    def change(self, change_bytes: int) -> None:
        """Count memory; give up responses if there is too much.

        That counts against their target: without it, a target that responds
        without end would get further requests for as long as none of its
        responses exceeds a limit alone.
        """
        self.total_bytes += change_bytes
        while self.total_bytes > self.max_bytes and self.meters:
            self._costliest().give_up('too_large')

    def _costliest(self) -> 'ResponseMeter':
        """Return a large response of the target that is held most for.

        It is the smallest one above their average: the ones that are held
        longest go on until they are complete, or exceed a limit that counts
        against the target.
        """
        by_target: defaultdict[str, list[ResponseMeter]] = defaultdict(list)
        for meter in self.meters:
            by_target[meter.target].append(meter)
        meters = max(by_target.values(), key=_held_bytes)
        average_bytes = _held_bytes(meters) / len(meters)
        large = (each for each in meters if each.held_bytes >= average_bytes)
        return min(large, key=lambda each: each.held_bytes)


class ResponseMeter:
    """Counts what is received after one request, and the memory of it.

    Parameters
    ----------
    budget : ResponseBudget
        Budget that all connections share.
    target : str
        Address of the target.
    give_up : callable
        Ends the request and this meter, for the reason that it gets.
    """

    def __init__(
        self,
        budget: ResponseBudget,
        target: str,
        give_up: Callable[[Excess], None],
    ) -> None:
        """Start with nothing received."""
        self.target = target
        self.held_bytes = 0
        self.received = Received()
        self._budget = budget
        self.give_up = give_up
        self._share = budget.memory.share(self._give_up_for_others)
        self._head_bytes = 0
        budget.meters.add(self)

    def add(
        self, size_bytes: int, *, is_in_head: bool, held_bytes: int
    ) -> Excess:
        """Add received bytes; return which limit they exceed.

        Parameters
        ----------
        size_bytes : int
            Number of bytes received.
        is_in_head : bool
            Whether they end inside the head of a response.
        held_bytes : int
            Memory that the response takes now.

        Returns
        -------
        str
            ``too_large`` or ``too_fragmented`` for a limit on one response,
            ``no_memory`` for the budget of the process, else empty.
        """
        self._head_bytes = self._head_bytes + size_bytes if is_in_head else 0
        self.received.wire_bytes += size_bytes
        excess = self._excess()
        if excess:
            return excess
        # The parser and the reason phrase hold as much while a head arrives.
        held_bytes = max(held_bytes, self._head_bytes)
        change_bytes = held_bytes - self.held_bytes
        self.held_bytes = held_bytes
        self._budget.change(change_bytes)
        if change_bytes < 0:
            self._share.release(-change_bytes)
        elif not self._share.charge(change_bytes):
            return 'no_memory'
        return ''

    def end(self) -> None:
        """Release the memory; the response is complete or given up."""
        self._budget.meters.discard(self)
        self._budget.total_bytes -= self.held_bytes
        self.held_bytes = 0
        self._share.close()

    def _give_up_for_others(self) -> bool:
        self.give_up('no_memory')
        return True

    def _excess(self) -> Excess:
        settings = self._budget.settings
        received = self.received
        if (
            self._head_bytes > settings.max_response_head_bytes
            or received.wire_bytes > settings.max_response_bytes
        ):
            return 'too_large'
        max_framing_bytes = (
            settings.max_response_head_bytes + received.payload_bytes
        )
        if (
            received.parts > settings.max_response_parts
            or received.framing_bytes > max_framing_bytes
        ):
            return 'too_fragmented'
        return ''


def _held_bytes(meters: Iterable[ResponseMeter]) -> int:
    return sum(each.held_bytes for each in meters)

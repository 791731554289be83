"""The largest messages between instances."""

import random

from thrift.transport.TTransport import TMemoryBuffer

from ...wire.generated.control.ttypes import WatchReply
from ...wire.transport import framed_protocol

ENTRIES = 300_000
BYTES_PER_ENTRY = 100


def test_snapshot_of_the_design_scale_passes() -> None:
    """Guards against a reply that its reader refuses by its length.

    An instance that gets no snapshot never learns the control state.
    """
    content = random.Random(1).randbytes(ENTRIES * BYTES_PER_ENTRY)
    buffer = TMemoryBuffer()
    protocol = framed_protocol(buffer, compresses=True)
    WatchReply(snapshot=content).write(protocol)
    protocol.trans.flush()
    received = WatchReply()
    received.read(
        framed_protocol(TMemoryBuffer(buffer.getvalue()), compresses=True)
    )
    assert received.snapshot == content

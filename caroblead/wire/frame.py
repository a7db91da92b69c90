"""Encoding of messages: a thrift struct in the compact protocol behind a length of four bytes."""

import asyncio
import struct

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from .gen import ttypes

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 64 * 1024 * 1024
_FACTORY = TCompactProtocolAcceleratedFactory(fallback=True)

# The kind number of each message on the wire; numbers are never given to another message.
MESSAGES = {
    1: ttypes.Reply,
    2: ttypes.RunRequest,
    3: ttypes.SubmitJob,
    4: ttypes.CancelJob,
    5: ttypes.ListJobs,
    6: ttypes.Digest,
    7: ttypes.FetchConfig,
    8: ttypes.ConfigReply,
    9: ttypes.Handover,
    10: ttypes.MoveGrant,
    11: ttypes.Drain,
    12: ttypes.AskAdvice,
    13: ttypes.AdviceReply,
    14: ttypes.AskState,
    15: ttypes.StateReply,
}
KIND_NUMBERS = {message: number for number, message in MESSAGES.items()}


def encode_message(message) -> bytes:
    """Returns the bytes of a thrift struct."""
    buffer = TMemoryBuffer()
    message.write(_FACTORY.getProtocol(buffer))
    return buffer.getvalue()


def decode_message(kind: type, body: bytes):
    """Reads a thrift struct of the given class."""
    message = kind()
    message.read(_FACTORY.getProtocol(TMemoryBuffer(body)))
    return message


def write_frame(writer: asyncio.StreamWriter, envelope: ttypes.Envelope) -> int:
    """Puts an envelope into a stream's buffer and returns its size on the wire."""
    body = encode_message(envelope)
    writer.write(LENGTH.pack(len(body)) + body)
    return LENGTH.size + len(body)


async def read_frame(reader: asyncio.StreamReader) -> ttypes.Envelope:
    """Reads the next envelope of a stream."""
    (size,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
    if size > MAX_FRAME_BYTES:
        raise ConnectionError(f"frame of {size} bytes is over the limit")
    return decode_message(ttypes.Envelope, await reader.readexactly(size))

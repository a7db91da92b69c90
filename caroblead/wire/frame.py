"""Message encoding: a four-byte length, then a thrift struct in the compact protocol."""

import asyncio
import struct

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from .gen import ttypes

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 64 * 1024 * 1024
_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory(fallback=True)

# The number that identifies each message class on the wire; numbers are never reused.
MESSAGE_CLASSES = {
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
MESSAGE_KINDS = {message: number for number, message in MESSAGE_CLASSES.items()}


def encode_message(message) -> bytes:
    """Encodes a thrift struct."""
    buffer = TMemoryBuffer()
    message.write(_PROTOCOL_FACTORY.getProtocol(buffer))
    return buffer.getvalue()


def decode_message(message_class: type, body: bytes):
    """Decodes a thrift struct of the given class."""
    message = message_class()
    message.read(_PROTOCOL_FACTORY.getProtocol(TMemoryBuffer(body)))
    return message


def write_frame(writer: asyncio.StreamWriter, envelope: ttypes.Envelope) -> int:
    """Writes an envelope to a stream's buffer and returns its size on the wire in bytes."""
    body = encode_message(envelope)
    writer.write(LENGTH_PREFIX.pack(len(body)) + body)
    return LENGTH_PREFIX.size + len(body)


async def read_frame(reader: asyncio.StreamReader) -> ttypes.Envelope:
    """Reads the next envelope of a stream, or raises an error if its frame is too large."""
    (size,) = LENGTH_PREFIX.unpack(await reader.readexactly(LENGTH_PREFIX.size))
    if size > MAX_FRAME_BYTES:
        raise ConnectionError(f"frame of {size} bytes exceeds the limit (MAX_FRAME_BYTES)")
    return decode_message(ttypes.Envelope, await reader.readexactly(size))

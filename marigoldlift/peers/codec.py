"""Codec for grpclib that encodes msgspec structs as MessagePack instead of protobuf."""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

__all__ = ('MsgpackCodec',)


class MsgpackCodec(CodecBase):
    """Encodes msgspec structs, and decodes them by their message type."""

    __content_subtype__ = 'msgpack'

    def __init__(self) -> None:
        """Create the encoder; the decoder of a message type is created on first use."""
        self.encoder = msgspec.msgpack.Encoder()
        self.decoders: dict[Any, msgspec.msgpack.Decoder] = {}

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message."""
        return self.encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode and validate a message.

        Raises:
            msgspec.ValidationError: the data is not a message of that type.
        """
        decoder = self.decoders.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self.decoders[message_type] = decoder
        return decoder.decode(data)

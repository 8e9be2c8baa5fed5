"""Decoding of messages from other processes; modules that receive bytes use these decoders and no others."""

from typing import Any, Generic, Protocol, TypeVar

import msgspec

from marigoldlift.errors import MalformedMessageError

__all__ = ('JsonDecoder', 'MessageDecoder', 'MsgpackDecoder')

MessageT = TypeVar('MessageT')

#: Errors of a decoder for content of any kind; msgspec raises `RecursionError` for deeply nested content.
DECODING_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError, OverflowError)


class RawDecoder(Protocol):
    """Decoder of a serialization library."""

    def decode(self, content: bytes, /) -> Any:
        """Return the decoded message."""


class MessageDecoder(Generic[MessageT]):
    """Decodes bytes of other processes into one type of message.

    Attributes:
        raw: decoder of the serialization library.
        max_bytes: size above which content is rejected without decoding it.
    """

    def __init__(self, raw: RawDecoder, max_bytes: int) -> None:
        """Keep the decoder and the size limit."""
        self.raw = raw
        self.max_bytes = max_bytes

    def decode(self, content: bytes) -> MessageT:
        """Return the message.

        Raises:
            MalformedMessageError: the content is too large, or it is no message of this type.
        """
        if len(content) > self.max_bytes:
            raise MalformedMessageError(f'{len(content)} bytes, allowed are {self.max_bytes}')
        try:
            return self.raw.decode(content)
        except DECODING_ERRORS as fault:
            raise MalformedMessageError(str(fault)) from fault


class JsonDecoder(MessageDecoder[MessageT]):
    """Decodes JSON."""

    def __init__(self, message_type: Any, max_bytes: int) -> None:
        """Create the decoder of a message type."""
        super().__init__(msgspec.json.Decoder(message_type), max_bytes)


class MsgpackDecoder(MessageDecoder[MessageT]):
    """Decodes MessagePack."""

    def __init__(self, message_type: Any, max_bytes: int) -> None:
        """Create the decoder of a message type."""
        super().__init__(msgspec.msgpack.Decoder(message_type), max_bytes)

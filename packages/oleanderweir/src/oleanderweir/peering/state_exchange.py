"""Transfers the published state between processes over TCP."""

from __future__ import annotations

import logging
import struct
from typing import TYPE_CHECKING
from typing import Any

import msgpack
import trio

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import Topic
from oleanderweir.peering.exceptions import InvalidMessageError
from oleanderweir.peering.exceptions import PeerUnavailableError
from oleanderweir.peering.field_types import is_text
from oleanderweir.peering.packing import pack
from oleanderweir.peering.packing import unpack
from oleanderweir.peering.position_codec import pack_position
from oleanderweir.peering.position_codec import unpack_position


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister


logger = logging.getLogger(__name__)

LENGTH = struct.Struct("!I")
# Enough for a topic with the largest document that the source stores, and framing.
MAX_FRAME_BYTES = 8 * 1024 * 1024
REQUEST_TIMEOUT_S = 1.5
CHUNK_BYTES = 64 * 1024


async def read_frame(stream: trio.abc.ReceiveStream) -> bytes:
    """Return a frame's body; raise ``InvalidMessageError`` if cut off or too long."""
    data = bytearray()
    expected_bytes = LENGTH.size
    while len(data) < expected_bytes:
        chunk = await stream.receive_some(CHUNK_BYTES)
        if not chunk:
            raise InvalidMessageError(
                "a peer closed its stream within a frame; the request is retried"
            )
        data += chunk
        if expected_bytes == LENGTH.size and len(data) >= LENGTH.size:
            expected_bytes += LENGTH.unpack_from(data)[0]
            if expected_bytes > MAX_FRAME_BYTES:
                raise InvalidMessageError(
                    f"a peer announced a frame of {expected_bytes} bytes, "
                    f"above the limit of {MAX_FRAME_BYTES}; "
                    "check that all processes run the same version"
                )
    return bytes(data[LENGTH.size : expected_bytes])


def encode_listing(listing: Listing) -> bytes:
    """Return the frame with the state of a topic."""
    documents = [
        [c.name, pack_position(c.revision), c.document] for c in listing.documents
    ]
    body = pack([listing.topic.value, pack_position(listing.revision), documents])
    return LENGTH.pack(len(body)) + body


def decode_listing(body: bytes) -> Listing:
    """Return the state of a topic from a frame body; raise ``InvalidMessageError``."""
    try:
        topic, revision, documents = unpack(body)
        return Listing(
            topic=Topic(topic),
            revision=unpack_position(revision),
            documents=tuple(_decode_change(*fields) for fields in documents),
        )
    except (
        ValueError,
        TypeError,
        RecursionError,
        msgpack.UnpackException,
    ) as error:
        raise InvalidMessageError(
            "the state sent by a peer can't be decoded; check that all processes run "
            "the same version"
        ) from error


def _decode_change(name: Any, revision: Any, document: Any) -> Change:
    """Return a document of a listing; raise ``ValueError`` if a field is invalid."""
    if not is_text(name) or not isinstance(document, bytes):
        raise ValueError("a document has a field of another type")
    return Change(name=name, revision=unpack_position(revision), document=document)


class StateServer:
    """Serves the state of the topic that each connection requests."""

    def __init__(self, *, register: StateRegister) -> None:
        self.register = register

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve the request of one connection."""
        with trio.move_on_after(REQUEST_TIMEOUT_S):
            try:
                topic = Topic((await read_frame(stream)).decode())
                await stream.send_all(encode_listing(self.register.export(topic)))
            except (InvalidMessageError, ValueError, trio.BrokenResourceError) as error:
                logger.info(
                    "could not serve a request for the published state",
                    extra={"code": "state_request_failed", "reason": repr(error)},
                )
        await trio.aclose_forcefully(stream)


class StateClient:
    """Fetches the state of a topic from a peer."""

    def __init__(self, *, port: int) -> None:
        self.port = port

    async def fetch(self, host: str, topic: Topic) -> Listing:
        """Return the state of a topic at a peer; raise ``PeerUnavailableError``."""
        try:
            with trio.fail_after(REQUEST_TIMEOUT_S):
                stream = await trio.open_tcp_stream(host, self.port)
                async with stream:
                    name = topic.value.encode()
                    await stream.send_all(LENGTH.pack(len(name)) + name)
                    return decode_listing(await read_frame(stream))
        except (
            OSError,
            trio.TooSlowError,
            trio.BrokenResourceError,
            InvalidMessageError,
        ) as error:
            raise PeerUnavailableError(
                f"could not fetch state from {host} ({error!r}); "
                "it is fetched from the next peer that is ahead"
            ) from error

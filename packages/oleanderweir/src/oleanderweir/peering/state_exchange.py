"""Transfers the published state between processes over TCP."""

from __future__ import annotations

import logging
import struct
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any

import attrs
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
from oleanderweir.peering.withdrawn_codec import decode_withdrawn
from oleanderweir.peering.withdrawn_codec import encode_withdrawn


if TYPE_CHECKING:
    from collections.abc import Iterator

    from oleanderweir.desired_state import StateRegister


logger = logging.getLogger(__name__)

LENGTH = struct.Struct("!I")
# Enough for a topic with the largest document that the source stores, and framing.
MAX_FRAME_BYTES = 8 * 1024 * 1024
REQUEST_TIMEOUT_S = 1.5
CHUNK_BYTES = 64 * 1024


class FrameReader:
    """Reads the frames that a peer sends on one stream."""

    def __init__(self, *, stream: trio.abc.ReceiveStream) -> None:
        self.stream = stream
        self.data = bytearray()

    async def read(self) -> bytes:
        """Return a frame's body; raise ``InvalidMessageError`` if cut off or long."""
        body = await self.read_optional()
        if body is None:
            raise InvalidMessageError(
                "a peer closed its stream without a frame; the request is retried"
            )
        return body

    async def read_optional(self) -> bytes | None:
        """Return a frame's body as ``read`` does, ``None`` if the stream has ended."""
        if not await self._receive(LENGTH.size):
            return None
        [body_bytes] = LENGTH.unpack_from(self.data)
        if body_bytes + LENGTH.size > MAX_FRAME_BYTES:
            raise InvalidMessageError(
                f"a peer announced a frame of {body_bytes + LENGTH.size} bytes, "
                f"above the limit of {MAX_FRAME_BYTES}; "
                "check that all processes run the same version"
            )
        end = LENGTH.size + body_bytes
        await self._receive(end)
        body = bytes(self.data[LENGTH.size : end])
        del self.data[:end]
        return body

    async def _receive(self, expected_bytes: int) -> bool:
        """Receive so many bytes; return whether the stream had any."""
        while len(self.data) < expected_bytes:
            chunk = await self.stream.receive_some(CHUNK_BYTES)
            if not chunk and not self.data:
                return False
            if not chunk:
                raise InvalidMessageError(
                    "a peer closed its stream within a frame; the request is retried"
                )
            self.data += chunk
        return True


def encode_listing(listing: Listing) -> bytes:
    """
    Return the frame with the state of a topic.

    A second one has the withdrawn evacuation orders. Earlier releases ignore what
    follows the first.
    """
    documents = [
        [c.name, pack_position(c.revision), c.document] for c in listing.documents
    ]
    body = pack([listing.topic.value, pack_position(listing.revision), documents])
    frame = LENGTH.pack(len(body)) + body
    if listing.topic is not Topic.DESIRED_STATE or listing.withdrawn is None:
        return frame
    withdrawn_body = encode_withdrawn(listing.withdrawn)
    return frame + LENGTH.pack(len(withdrawn_body)) + withdrawn_body


def decode_listing(body: bytes) -> Listing:
    """
    Return the state of a topic from a frame body; raise ``InvalidMessageError``.

    The withdrawn evacuation orders of the desired state are in the next frame.
    """
    with _reject_invalid_body():
        topic, revision, documents = unpack(body)
        listing = Listing(
            topic=Topic(topic),
            revision=unpack_position(revision),
            documents=tuple(_decode_change(*fields) for fields in documents),
        )
        if listing.topic is Topic.DESIRED_STATE:
            return attrs.evolve(listing, withdrawn=None)
        return listing


async def receive_listing(stream: trio.abc.ReceiveStream) -> Listing:
    """Return the state that a peer sends; raise ``InvalidMessageError``."""
    reader = FrameReader(stream=stream)
    listing = decode_listing(await reader.read())
    if listing.topic is not Topic.DESIRED_STATE:
        return listing
    body = await reader.read_optional()
    if body is None:
        return listing
    with _reject_invalid_body():
        withdrawn = decode_withdrawn(body)
        positions = [order.withdrawn_at for order in withdrawn.orders]
        if max([*positions, *withdrawn.first_listings], default=0) > listing.revision:
            raise ValueError("a peer told of a later withdrawal than its state has")
        return attrs.evolve(listing, withdrawn=withdrawn)


@contextmanager
def _reject_invalid_body() -> Iterator[None]:
    """Raise ``InvalidMessageError`` if a frame body is invalid."""
    try:
        yield
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
                request = await FrameReader(stream=stream).read()
                topic = Topic(request.decode())
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
                    return await receive_listing(stream)
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

"""Passes the published state on between processes, over TCP."""

from __future__ import annotations

import logging
import struct
from typing import TYPE_CHECKING

import msgpack
import trio

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import Topic
from oleanderweir.peering.exceptions import InvalidMessageError
from oleanderweir.peering.exceptions import PeerUnavailableError


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister


logger = logging.getLogger(__name__)

LENGTH = struct.Struct("!I")
# Room for a topic of the largest document that the source holds, and framing.
MAX_FRAME_BYTES = 8 * 1024 * 1024
REQUEST_TIMEOUT_S = 1.5
CHUNK_BYTES = 64 * 1024


async def read_frame(stream: trio.abc.ReceiveStream) -> bytes:
    """Return one frame; raise ``InvalidMessageError`` if it ends early."""
    data = bytearray()
    wanted = LENGTH.size
    while len(data) < wanted:
        chunk = await stream.receive_some(CHUNK_BYTES)
        if not chunk:
            raise InvalidMessageError("a peer ended its message early; it is retried")
        data += chunk
        if wanted == LENGTH.size and len(data) >= LENGTH.size:
            wanted += LENGTH.unpack_from(data)[0]
            if wanted > MAX_FRAME_BYTES:
                raise InvalidMessageError(
                    f"a peer announced {wanted} bytes, above {MAX_FRAME_BYTES}; "
                    "check that all processes run the same version"
                )
    return bytes(data[LENGTH.size : wanted])


def encode_listing(listing: Listing) -> bytes:
    """Return the frame of a topic's state."""
    documents = [[c.name, c.revision, c.document] for c in listing.documents]
    body: bytes = msgpack.packb([listing.topic.value, listing.revision, documents])
    return LENGTH.pack(len(body)) + body


def decode_listing(body: bytes) -> Listing:
    """Return the topic's state in a frame; raise ``InvalidMessageError``."""
    try:
        topic, revision, documents = msgpack.unpackb(body)
        return Listing(
            topic=Topic(topic),
            revision=revision,
            documents=tuple(
                Change(name=name, revision=written_at, document=document)
                for name, written_at, document in documents
            ),
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise InvalidMessageError(
            "a peer's state can't be read; check that all processes run the same "
            "version"
        ) from error


class StateServer:
    """Answers each connection with the state of the topic that it names."""

    def __init__(self, *, register: StateRegister) -> None:
        self.register = register

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer one connection."""
        with trio.move_on_after(REQUEST_TIMEOUT_S):
            try:
                topic = Topic((await read_frame(stream)).decode())
                await stream.send_all(encode_listing(self.register.export(topic)))
            except (InvalidMessageError, ValueError, trio.BrokenResourceError) as error:
                logger.info(
                    "a request for state failed",
                    extra={"code": "state_request_failed", "reason": repr(error)},
                )
        await trio.aclose_forcefully(stream)


class StateClient:
    """Fetches the state of a topic from a peer."""

    def __init__(self, *, port: int) -> None:
        self.port = port

    async def fetch(self, host: str, topic: Topic) -> Listing:
        """Return a topic as a peer knows it; raise ``PeerUnavailableError``."""
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
                f"{host} gave no state ({error!r}); another peer is asked"
            ) from error

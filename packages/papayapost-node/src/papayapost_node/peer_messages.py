"""Passes messages between the world of a node and the transport to peers."""

from collections.abc import Callable

from papayapost.errors import FrameError
from papayapost.ids import Address
from papayapost.observe import Event
from papayapost.peering import PeerSend
from papayapost.traffic import OwnerConnectionLost
from papayapost_node.event_limit import EventRateLimit
from papayapost_node.security import PublicKey, SenderCheck
from papayapost_node.transport import (
    DroppedCallback,
    FrameListener,
    PeerTable,
    PeerTransport,
)
from papayapost_node.wire import CONTROL_TYPES, Codec

__all__ = ["PeerMessages"]

Post = Callable[[object], None]
TakeCarrier = Callable[[object], bool]


class PeerMessages(FrameListener):
    """Encodes and sends messages; decodes, checks and passes on received ones.

    Parameters
    ----------
    peers
        Counts the bytes of control messages, which are the messages of
        membership and of rules distribution.
    events
        Records refused frames, senders and keys at a limited rate.
    post
        Passes a message to the next tick of the world.
    """

    def __init__(
        self,
        own_address: Address,
        transport: PeerTransport,
        codec: Codec,
        peers: PeerTable,
        senders: SenderCheck,
        events: EventRateLimit,
        post: Post,
    ):
        self._own_address = own_address
        self._transport = transport
        self._codec = codec
        self._peers = peers
        self._senders = senders
        self._events = events
        self._post = post
        self._take_carrier: TakeCarrier = lambda message: False

    def set_carrier_receiver(self, take_carrier: TakeCarrier) -> None:
        """Set the function that receives carriers.

        Carriers are messages with parts of requests and answers; the function
        returns False for any other message, which then goes to the world.
        """
        self._take_carrier = take_carrier

    def send(
        self,
        address: Address,
        message: object,
        on_dropped: DroppedCallback | None = None,
    ) -> bool:
        """Send a message at most once.

        Return False if the message was certainly not sent; it may be lost
        even after True.
        """
        frame = self._codec.encode(message)
        is_sent = self._transport.send(address, frame, on_dropped)
        if is_sent and type(message) in CONTROL_TYPES:
            self._peers.count_control_sent(address, len(frame))
        return is_sent

    def send_effect(self, effect: PeerSend) -> None:
        """Send the message of an effect.

        A message to this node itself goes to the next tick instead.
        """
        if effect.address == self._own_address:
            self._post(effect.message)
        else:
            self.send(effect.address, effect.message)

    def frame_arrived(self, frame: bytes, key: PublicKey | None) -> None:
        """Decode a received frame, check its sender and pass it on."""
        try:
            message = self._codec.decode(frame)
        except FrameError as error:
            self._events.note(Event.FRAME_REFUSED, str(error))
            return
        if type(message) in CONTROL_TYPES:
            self._peers.count_control_received(len(frame))
        if not self._senders.is_genuine(message, key):
            sender = getattr(message, "sender", None)
            kind = type(message).__name__
            self._events.note(
                Event.SENDER_REFUSED,
                f"{kind} names sender {sender!r}, sent with key {key}",
            )
        elif not self._take_carrier(message):
            self._post(message)

    def peer_lost(self, address: Address) -> None:
        """Post to the world that messages to a peer may be lost."""
        self._post(OwnerConnectionLost(address))

    def unknown_key_refused(self, key: PublicKey) -> None:
        """Record that a connection with an unknown key was refused."""
        self._events.note(Event.KEY_REFUSED, f"key {key} is not allowed")

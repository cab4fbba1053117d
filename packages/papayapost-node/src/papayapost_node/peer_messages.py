"""Messages to and from other nodes, between decisions and transport."""

from collections.abc import Callable

from papayapost.errors import FrameError
from papayapost.ids import Address
from papayapost.observe import Event
from papayapost.peering import PeerSend
from papayapost.traffic import OwnerLost
from papayapost_node.event_limit import EventLimit
from papayapost_node.security import PublicKey, SenderCheck
from papayapost_node.transport import (
    Dropped,
    FrameListener,
    PeerTable,
    PeerTransport,
)
from papayapost_node.wire import CONTROL_TYPES, Codec

__all__ = ["PeerMessages"]

Post = Callable[[object], None]
TakeCarrier = Callable[[object], bool]


class PeerMessages(FrameListener):
    """Encodes what goes out; decodes, checks and hands over what comes in.

    Parameters
    ----------
    peers
        Counts what carries no call.
    events
        Notes refusals, however many there are.
    post
        Hands a message to the next tick.
    """

    def __init__(
        self,
        own_address: Address,
        transport: PeerTransport,
        codec: Codec,
        peers: PeerTable,
        senders: SenderCheck,
        events: EventLimit,
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

    def connect(self, take_carrier: TakeCarrier) -> None:
        """Say what takes carriers; it answers False to other messages."""
        self._take_carrier = take_carrier

    def send(
        self, address: Address, message: object, on_dropped: Dropped | None = None
    ) -> bool:
        """Send a message, at most once; False if it certainly stays here."""
        frame = self._codec.encode(message)
        is_sent = self._transport.send(address, frame, on_dropped)
        if is_sent and type(message) in CONTROL_TYPES:
            self._peers.control_sent(address, len(frame))
        return is_sent

    def carry_out(self, effect: PeerSend) -> None:
        """Send what the decisions emitted."""
        if effect.address == self._own_address:
            self._post(effect.message)
        else:
            self.send(effect.address, effect.message)

    def frame_arrived(self, frame: bytes, key: PublicKey | None) -> None:
        """Decode a frame and hand its message over."""
        try:
            message = self._codec.decode(frame)
        except FrameError as error:
            self._events.note(Event.FRAME_REFUSED, str(error))
            return
        if type(message) in CONTROL_TYPES:
            self._peers.control_received(len(frame))
        if not self._senders.is_genuine(message, key):
            sender = getattr(message, "sender", None)
            kind = type(message).__name__
            self._events.note(
                Event.SENDER_REFUSED, f"{kind} names {sender!r}, its key is {key}"
            )
        elif not self._take_carrier(message):
            self._post(message)

    def peer_lost(self, address: Address) -> None:
        """Tell the decisions what may be lost."""
        self._post(OwnerLost(address))

    def stranger_refused(self, key: PublicKey) -> None:
        """Note who was turned away."""
        self._events.note(Event.KEY_REFUSED, f"key {key} is not allowed")

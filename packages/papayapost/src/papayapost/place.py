"""Location of a process, and its distance from other locations."""

from papayapost.define import define
from papayapost.ids import Address, DataCentreId, Incarnation, NodeId, RegionId
from papayapost.states import LinkClass

__all__ = ["Place", "SelfRow"]


@define(frozen=True)
class Place:
    """A location: a data centre and the region that contains it.

    Examples
    --------
    >>> north_1 = Place(DataCentreId("n1"), RegionId("north"))
    >>> north_1.distance_to(Place(DataCentreId("n2"), RegionId("north"))).name
    'REGION'
    """

    data_centre: DataCentreId
    region: RegionId

    def distance_to(self, other: "Place") -> LinkClass:
        """Return the class of the link to another location."""
        if self.region != other.region:
            return LinkClass.ACROSS
        if self.data_centre != other.data_centre:
            return LinkClass.REGION
        return LinkClass.DATA_CENTRE


@define
class SelfRow:
    """Identity and location of this node, from its settings and its start.

    Parameters
    ----------
    incarnation
        Start time of the process in µs. If another node holds a row of this
        node with a later start time, for example because the clock was set
        back, this node's row adopts that time with a higher revision.
    peer_address
        Address on which this node accepts messages from other nodes.
    """

    node_id: NodeId
    incarnation: Incarnation
    place: Place
    peer_address: Address

"""Builds the tables and systems with which a mesh keeps quotas."""

from collections.abc import Mapping

from papayapost.define import define
from papayapost.distribution import DirectWatchRow, RulesTable, WatchRanks
from papayapost.ids import DataCentreId, RegionId
from papayapost.kernel import System
from papayapost.membership import Directory
from papayapost.place import SelfRow
from papayapost.quota.asking import AskLenders
from papayapost.quota.leasing import HoldLeases
from papayapost.quota.lenders import Lenders
from papayapost.quota.lending import LendTokens
from papayapost.quota.tables import QuotaTables

__all__ = ["QuotaPart", "build_quota"]


@define
class QuotaPart:
    """Tables and systems of quotas."""

    tables: QuotaTables
    systems: list[System]


def build_quota(
    me: SelfRow,
    directory: Directory,
    ranks: WatchRanks,
    rules: RulesTable,
    contact: DirectWatchRow,
    data_centres: Mapping[DataCentreId, RegionId],
) -> QuotaPart:
    """Return the part that asks for tokens, and lends them at some nodes.

    Parameters
    ----------
    data_centres
        Region of each data centre of the mesh.
    """
    tables = QuotaTables(me.place.region, data_centres)
    lenders = Lenders(tables, directory, ranks)
    systems: list[System] = [
        HoldLeases(me, directory, ranks, rules, contact, tables),
        LendTokens(me, rules, tables, lenders),
        AskLenders(me, directory, tables, lenders),
    ]
    return QuotaPart(tables, systems)

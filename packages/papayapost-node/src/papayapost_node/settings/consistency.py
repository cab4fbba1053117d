"""Finds settings keys whose values are valid alone but contradict others."""

from collections.abc import Iterator

from papayapost.findings import Finding
from papayapost_node.settings_file import SettingsFault

__all__ = ["consistency_findings"]

_ADDRESS_KEYS = (
    "caller_address",
    "peer_address",
    "admin_address",
    "store_address",
    "readiness_address",
    "report_address",
)


def consistency_findings(raw: object) -> list[Finding]:
    """Return the contradictions between the keys of a settings file.

    Parameters
    ----------
    raw
        The decoded JSON value of the file. It may be of any type, because
        this check also runs on files that fail the check of single keys.
    """
    if not isinstance(raw, dict):
        return []
    return [
        *_duplicate_address_findings(raw),
        *_duplicate_seed_findings(raw),
        *_connection_limit_findings(raw.get("backend_server")),
        *_missing_capacity_findings(raw),
        *_data_centre_findings(raw),
    ]


def _duplicate_address_findings(raw: dict) -> Iterator[Finding]:
    addresses = {key: raw.get(key) for key in _ADDRESS_KEYS}
    backend = raw.get("backend_server")
    if isinstance(backend, dict):
        addresses["backend_server.address"] = backend.get("address")
    first_places: dict[str, str] = {}
    for place, address in addresses.items():
        if not isinstance(address, str):
            continue
        first_place = first_places.setdefault(address, place)
        if first_place != place:
            message = f"{address} is already the address of {first_place}"
            yield _finding(SettingsFault.DUPLICATE, place, message, "use another port")


def _duplicate_seed_findings(raw: dict) -> Iterator[Finding]:
    seeds = raw.get("seeds")
    if not isinstance(seeds, list):
        return
    for number, seed in enumerate(seeds):
        if seed in seeds[:number]:
            place, message = f"seeds.{number}", f"{seed!r} is listed twice"
            yield _finding(SettingsFault.DUPLICATE, place, message, "remove one")


def _connection_limit_findings(backend: object) -> Iterator[Finding]:
    if not isinstance(backend, dict):
        return
    slots, connections = backend.get("slots"), backend.get("connections")
    if type(slots) is int and type(connections) is int and connections < slots:
        place = "backend_server.connections"
        message = f"{connections} connections cannot run {slots} calls at once"
        remedy = "allow at least as many connections as slots"
        yield _finding(SettingsFault.CONTRADICTION, place, message, remedy)


def _missing_capacity_findings(raw: dict) -> Iterator[Finding]:
    backend = raw.get("backend_server")
    if not isinstance(backend, dict) or raw.get("report_address") is not None:
        return
    for key in ("slots", "connections"):
        if backend.get(key) is None:
            place = f"backend_server.{key}"
            message = "no value, and the backend server does not report its own"
            remedy = "set a number, or set report_address"
            yield _finding(SettingsFault.MISSING_KEY, place, message, remedy)


def _data_centre_findings(raw: dict) -> Iterator[Finding]:
    regions, own = raw.get("data_centres"), raw.get("data_centre")
    if not isinstance(regions, dict) or not regions or not isinstance(own, str):
        return
    if regions.get(own) != raw.get("region"):
        message = f"the region of {own} is {regions.get(own)}, not that of this node"
        remedy = "give each data centre its region, as in the key region"
        place = f"data_centres.{own}"
        yield _finding(SettingsFault.CONTRADICTION, place, message, remedy)


def _finding(fault: SettingsFault, place: str, message: str, remedy: str) -> Finding:
    return Finding(fault.value, place, message, remedy)

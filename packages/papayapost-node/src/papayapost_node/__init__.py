"""papayad, the node process that runs on each VM with a backend server."""

from papayapost_node.composition import build_node
from papayapost_node.settings import Settings, load_settings

__all__ = ["Settings", "build_node", "load_settings"]

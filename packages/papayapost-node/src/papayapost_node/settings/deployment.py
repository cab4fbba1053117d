"""Settings that a node derives from the figures of its deployment."""

from decimal import Decimal

import msgspec

from papayapost.define import define
from papayapost.findings import Finding
from papayapost_node.settings.figures import load_figures

__all__ = ["DerivedSettings", "with_deployment_settings"]

_DEPLOYMENT = "deployment"
_SURROUNDINGS = "surroundings"


@define(frozen=True)
class DerivedSettings:
    """The text of a settings file after the deployment's figures are applied.

    Parameters
    ----------
    text
        JSON text without the key ``deployment``.
    findings
        Figures that could not be used as they stood, with the value that was
        used instead.
    """

    text: str
    findings: tuple[Finding, ...] = ()


def with_deployment_settings(text: str) -> DerivedSettings:
    """Replace the key ``deployment`` of a settings file by other settings.

    The platform module that the file names under ``surroundings`` derives
    them. A setting that the file itself holds is kept. A text without that
    key, or one that is no JSON object, is returned as it is.

    Raises
    ------
    SurroundingsUnknown
        If the platform module cannot be loaded.
    """
    try:
        # Decimal keeps figures that a float would round or refuse.
        raw = msgspec.json.Decoder(float_hook=Decimal).decode(text)
    except (msgspec.DecodeError, RecursionError):
        return DerivedSettings(text)
    if not isinstance(raw, dict) or _DEPLOYMENT not in raw:
        return DerivedSettings(text)
    module = raw.get(_SURROUNDINGS)
    if not isinstance(module, str):
        return DerivedSettings(text)
    derived = load_figures(module).deployment_settings(raw.pop(_DEPLOYMENT))
    merged = _merged(derived.settings, raw)
    encoder = msgspec.json.Encoder(decimal_format="number")
    return DerivedSettings(encoder.encode(merged).decode(), derived.findings)


def _merged(base: dict, changes: dict) -> dict:
    merged = base | changes
    for key, value in base.items():
        change = changes.get(key)
        if isinstance(value, dict) and isinstance(change, dict):
            merged[key] = _merged(value, change)
    return merged

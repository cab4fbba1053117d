"""How a platform's figures of a deployment become settings of a node."""

import importlib
from abc import ABC, abstractmethod

from papayapost.define import define
from papayapost.errors import SurroundingsUnknown
from papayapost.findings import Finding

__all__ = ["DeploymentFigures", "DeploymentSettings", "load_figures"]


@define(frozen=True)
class DeploymentSettings:
    """Settings that follow from the figures of a deployment.

    Parameters
    ----------
    settings
        Keys and values as in a settings file.
    findings
        Figures that could not be used as they stood, each with the value that
        was used instead.
    """

    settings: dict
    findings: tuple[Finding, ...] = ()


class DeploymentFigures(ABC):
    """Knows the names and units in which a platform states its figures."""

    @abstractmethod
    def deployment_settings(self, figures: object) -> DeploymentSettings:
        """Return the settings that follow from the figures of a deployment.

        A figure that is missing or unusable must not keep the node from
        starting: it is replaced by the closest value that keeps the promise
        that the figure states.

        Parameters
        ----------
        figures
            Value of the key ``deployment`` of the settings file. Numbers with
            a fraction or an exponent are of the type `Decimal`.
        """


def load_figures(module: str) -> DeploymentFigures:
    """Return the object of a platform module that knows its figures.

    Parameters
    ----------
    module
        Name of a module with a `SURROUNDINGS` object.

    Raises
    ------
    SurroundingsUnknown
        If the module cannot be imported, or its `SURROUNDINGS` object is
        missing or of another type.
    """
    try:
        found = importlib.import_module(module).SURROUNDINGS
    except (ImportError, AttributeError) as error:
        raise SurroundingsUnknown(module, error) from error
    if not isinstance(found, DeploymentFigures):
        raise SurroundingsUnknown(module, "its SURROUNDINGS has another type")
    return found

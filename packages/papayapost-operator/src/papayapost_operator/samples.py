"""Reads the metrics page of a node."""

from collections.abc import Mapping

from prometheus_client.parser import text_string_to_metric_families

__all__ = ["MetricSamples"]


class MetricSamples:
    r"""The values of one metrics page, by metric name and label values.

    Parameters
    ----------
    text
        The page, in the Prometheus text format.

    Raises
    ------
    ValueError
        If the text is not in that format.

    Examples
    --------
    >>> samples = MetricSamples(
    ...     'sent{link="across"} 3.5\nsent{link="self"} 4.5\n'
    ... )
    >>> samples.value("sent", "across"), samples.total("sent")
    (3.5, 8.0)
    >>> samples.get("received") is None
    True
    """

    def __init__(self, text: str):
        self._values = {
            (sample.name, _key_of(sample.labels)): sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
        }

    def get(self, name: str, labels: str = "") -> float | None:
        """Return one value, or None if the page does not have it.

        Parameters
        ----------
        labels
            The label values in order of the labels' names, joined by ``/``.
        """
        return self._values.get((name, labels))

    def value(self, name: str, labels: str = "") -> float:
        """Return one value, or 0 if the page does not have it."""
        return self._values.get((name, labels), 0.0)

    def total(self, name: str) -> float:
        """Return the sum of all values of a metric."""
        return sum(
            value for (sample, _), value in self._values.items() if sample == name
        )


def _key_of(labels: Mapping[str, str]) -> str:
    return "/".join(labels[name] for name in sorted(labels))

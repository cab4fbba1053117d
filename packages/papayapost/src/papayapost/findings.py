"""A finding: one fault in a text, with its location and its remedy."""

from papayapost.define import define

__all__ = ["Finding"]


@define(frozen=True)
class Finding:
    """One fault in a rules text or a settings file.

    Parameters
    ----------
    code
        Stable code such as ``R004``.
    place
        Location of the fault: ``line:column``, both counted from 1, or a
        path to a value in a JSON file.
    message
        What is wrong, with a quotation of the faulty text.
    remedy
        What to write instead.

    Examples
    --------
    >>> print(Finding("R001", "3:1", "no owner", "end with '# name: why'"))
    3:1 R001 no owner; end with '# name: why'
    """

    code: str
    place: str
    message: str
    remedy: str

    def __str__(self):
        return f"{self.place} {self.code} {self.message}; {self.remedy}"

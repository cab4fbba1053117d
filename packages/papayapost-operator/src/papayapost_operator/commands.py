"""The commands of papaya, as the command line names them."""

from papayapost_operator.apply import ApplyCommand
from papayapost_operator.check import CheckCommand
from papayapost_operator.command import Command
from papayapost_operator.explain import ExplainCommand
from papayapost_operator.flags import read_flag
from papayapost_operator.log import LogCommand
from papayapost_operator.settings import StoreOptions
from papayapost_operator.status import StatusCommand
from papayapost_operator.timeline import TimelineCommand, TimelineOptions
from papayapost_operator.top import TopCommand

__all__ = ["Papaya"]


class Papaya:
    """Checks, applies and explains the rules, and tells who changed them.

    Every command takes --json for one JSON object in place of text.
    """

    def check(self, file: str) -> Command:
        """Report every finding of a rules file; the store is not asked.

        Parameters
        ----------
        file
            Path of the rules file.
        """
        return CheckCommand(file)

    def apply(
        self,
        file: str,
        store: str = "",
        settings: str = "",
        operator: str = "",
        message: str = "",
        base: str = "",
        preview: bool = False,
    ) -> Command:
        """Make a rules file the store's current version.

        Parameters
        ----------
        file
            Path of the rules file.
        store
            Address of the object store, as in 10.0.0.7:4100.
        settings
            Path of a JSON settings file.
        operator
            Name to record; the login name if left out.
        message
            Why, for the record.
        base
            Version that the file was edited from: refuse if another one is
            current.
        preview
            Show what would change and write nothing.
        """
        options = StoreOptions(store, settings)
        is_preview = read_flag("--preview", preview)
        return ApplyCommand(file, options, operator, message, base, is_preview)

    def explain(
        self, method: str, url: str, store: str = "", settings: str = "", file: str = ""
    ) -> Command:
        """Say which rule decides a call, whose it is and why others do not.

        Parameters
        ----------
        method
            HTTP method.
        url
            As in http://host/path, host/path or /path.
        store
            Address of the object store.
        settings
            Path of a JSON settings file.
        file
            Path of a rules file to explain by, in place of the store's.
        """
        return ExplainCommand(method, url, StoreOptions(store, settings), file)

    def log(
        self,
        store: str = "",
        settings: str = "",
        rule: str = "",
        owner: str = "",
        limit: str = "20",
    ) -> Command:
        """Say who changed which rule when, newest first.

        Parameters
        ----------
        store
            Address of the object store.
        settings
            Path of a JSON settings file.
        rule
            Only rules whose methods and target contain this text.
        owner
            Only rules of this owner, before or after the change.
        limit
            Versions to show at most.
        """
        return LogCommand(StoreOptions(store, settings), rule, owner, limit)

    def status(
        self, store: str = "", settings: str = "", data_centres: str = ""
    ) -> Command:
        """Say which version is current, who holds it and what was refused.

        Parameters
        ----------
        store
            Address of the object store.
        settings
            Path of a JSON settings file.
        data_centres
            Names parted by commas; those of the settings file if left out.
        """
        return StatusCommand(StoreOptions(store, settings), data_centres)

    def timeline(
        self,
        nodes: str = "",
        files: str = "",
        call: str = "",
        version: str = "",
        only: str = "",
        data_centre: str = "",
        since: str = "",
        until: str = "",
        limit: str = "200",
        html: str = "",
        timeout_ms: str = "2000",
    ) -> Command:
        """Show what happened on many nodes, in causal order.

        Parameters
        ----------
        nodes
            Admin addresses parted by commas.
        files
            Paths of saved /timeline pages parted by commas.
        call
            Follow one call, named NODE/NUMBER as its answer's
            papayapost-call header does.
        version
            Only events of this rules version.
        only
            Only events of these nodes, by name.
        data_centre
            Only events of these data centres.
        since, until
            Only this span, as in 2026-12-04T10:00:00.
        limit
            Newest events to show at most; 0 for all.
        html
            Path of a page to draw.
        timeout_ms
            Time that each node has to answer.
        """
        return TimelineCommand(
            TimelineOptions(
                nodes,
                files,
                call,
                version,
                only,
                data_centre,
                since,
                until,
                limit,
                html,
                timeout_ms,
            )
        )

    def top(self, nodes: str = "", timeout_ms: str = "2000") -> Command:
        """Show what each node holds, uses and serves.

        Parameters
        ----------
        nodes
            Admin addresses parted by commas.
        timeout_ms
            Time that each node has to answer.
        """
        return TopCommand(nodes, timeout_ms)

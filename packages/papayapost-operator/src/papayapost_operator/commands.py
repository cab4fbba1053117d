"""The commands of papaya with their arguments on the command line."""

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
    """Checks, applies and explains rules, and shows the state of the mesh.

    With --json, every command prints one JSON object in place of text.
    """

    def check(self, file: str) -> Command:
        """Report all findings of a rules file, without reading the store.

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
        """Write a rules file to the store as the current version.

        Parameters
        ----------
        file
            Path of the rules file.
        store
            Address of the object store, as in 10.0.0.7:4100.
        settings
            Path of a JSON settings file.
        operator
            Name for the change record; the login name if left out.
        message
            Reason for the change, for the change record.
        base
            Version that the file was edited from. The command writes nothing
            if another version is current.
        preview
            Show what would change and write nothing.
        """
        options = StoreOptions(store, settings)
        is_preview = read_flag("--preview", preview)
        return ApplyCommand(file, options, operator, message, base, is_preview)

    def explain(
        self, method: str, url: str, store: str = "", settings: str = "", file: str = ""
    ) -> Command:
        """Show which rule decides a call, and why other rules do not match.

        Parameters
        ----------
        method
            HTTP method of the call.
        url
            URL of the call, as in http://host/path, host/path or /path.
        store
            Address of the object store.
        settings
            Path of a JSON settings file.
        file
            Path of a rules file to use in place of the rules in the store.
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
        """Show who changed which rules, and when, newest first.

        Parameters
        ----------
        store
            Address of the object store.
        settings
            Path of a JSON settings file.
        rule
            Show only rules whose methods and target contain this text.
        owner
            Show only rules that had this owner before or after the change.
        limit
            Largest number of versions to show.
        """
        return LogCommand(StoreOptions(store, settings), rule, owner, limit)

    def status(
        self, store: str = "", settings: str = "", data_centres: str = ""
    ) -> Command:
        """Show the current rules version and its rollout in the data centres.

        The findings of a refused version are shown too.

        Parameters
        ----------
        store
            Address of the object store.
        settings
            Path of a JSON settings file.
        data_centres
            Names separated by commas; those of the settings file if left out.
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
        """Show the events of many nodes in causal order.

        Parameters
        ----------
        nodes
            Admin addresses of nodes, separated by commas.
        files
            Paths of saved /timeline pages, separated by commas.
        call
            Show only the events of this call, written as NODE/NUMBER. The
            papayapost-call header of an answer names its call in this form.
        version
            Show only events of this rules version.
        only
            Show only events of the nodes with these names.
        data_centre
            Show only events of these data centres.
        since, until
            Show only events of this time span, as in 2026-12-04T10:00:00.
        limit
            Largest number of events to show, the newest ones; 0 for all.
        html
            Path of an HTML page to write, with a drawing of the events.
        timeout_ms
            Time in ms that each node has to answer.
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
        """Show the state, resource use and calls of each node.

        Parameters
        ----------
        nodes
            Admin addresses of nodes, separated by commas.
        timeout_ms
            Time in ms that each node has to answer.
        """
        return TopCommand(nodes, timeout_ms)

"""Parses and runs the command line of ``papaya``."""

import contextlib
import io
import sys
from collections.abc import Sequence

import fire
import msgspec
from fire.core import FireExit

from papayapost.errors import (
    FindingsError,
    InternalError,
    Interrupted,
    PapayapostError,
    UsageRefused,
)
from papayapost_operator.command import Command, Document, Result, error_document
from papayapost_operator.commands import Papaya
from papayapost_operator.exit_codes import ExitCode, exit_code_of
from papayapost_operator.flags import check_options, quote_word

__all__ = ["main", "run"]

_JSON_FLAG = "--json"
_HELP_FLAGS = frozenset(["--help", "-h", "help"])


def main() -> None:
    """Run ``papaya`` with the arguments of the process and exit."""
    for stream in (sys.stdout, sys.stderr):
        if isinstance(stream, io.TextIOWrapper):
            # Rules may hold characters that the terminal's encoding lacks.
            stream.reconfigure(errors="backslashreplace")
    sys.exit(run(sys.argv[1:]))


def run(arguments: Sequence[str]) -> ExitCode:
    """Run one command and print its result.

    The report goes to standard output and an error to standard error. With
    ``--json``, one object with both goes to standard output.
    """
    words = [word for word in arguments if word != _JSON_FLAG]
    if _HELP_FLAGS.intersection(words):
        print(_help_text(words))
        return ExitCode.DONE
    result, name = _run_command(words)
    exit_code = exit_code_of(result.error)
    if len(words) < len(arguments):
        _print_json(name, exit_code, result)
    else:
        _print_text(result)
    return exit_code


def _run_command(words: Sequence[str]) -> tuple[Result, str]:
    name = words[0] if words else ""
    try:
        return _parse(words).run(), name
    except PapayapostError as error:
        return Result(None, (), error), name
    except KeyboardInterrupt:
        return Result(None, (), Interrupted()), name
    except Exception as error:
        return Result(None, (), InternalError(error)), name


def _parse(words: Sequence[str]) -> Command:
    """Return the command that the words describe, without running it.

    Raises
    ------
    UsageRefused
        If the words are not a valid command line.
    """
    if not words:
        raise UsageRefused(f"no command is named; use one of {_command_list()}")
    if words[0] not in _command_names():
        raise UsageRefused(
            f"unknown command {words[0]!r}; use one of {_command_list()}"
        )
    check_options(words)
    quoted_words = [words[0], *map(quote_word, words[1:])]
    captured = io.StringIO()
    try:
        with contextlib.redirect_stderr(captured), contextlib.redirect_stdout(captured):
            command = fire.Fire(Papaya(), command=quoted_words, name="papaya")
    except FireExit as failure:
        reason = failure.trace.elements[-1].ErrorAsStr()
        raise UsageRefused(_usage_text(words, reason)) from None
    if not isinstance(command, Command):
        raise UsageRefused(_usage_text(words, "the command line is incomplete"))
    return command


def _usage_text(words: Sequence[str], reason: str) -> str:
    return f"{reason}; 'papaya {words[0]} --help' lists its arguments"


def _command_names() -> list[str]:
    return [name for name in vars(Papaya) if not name.startswith("_")]


def _command_list() -> str:
    return ", ".join(_command_names())


def _help_text(words: Sequence[str]) -> str:
    """Return the help text of a command, or of the tool if none is named."""
    captured = io.StringIO()
    name = next((word for word in words if word not in _HELP_FLAGS), "")
    command = [name] if name in _command_names() else []
    with (
        contextlib.redirect_stderr(captured),
        contextlib.redirect_stdout(captured),
        contextlib.suppress(FireExit),
    ):
        fire.Fire(Papaya(), command=[*command, "--", "--help"], name="papaya")
    return captured.getvalue()


def _print_json(name: str, exit_code: ExitCode, result: Result) -> None:
    error = error_document(result.error)
    document = Document(name, exit_code, error, result.report)
    print(msgspec.json.encode(document).decode())


def _print_text(result: Result) -> None:
    for line in result.lines:
        print(line)
    error = result.error
    if isinstance(error, FindingsError) and result.lines:
        print(error.summary, file=sys.stderr)
    elif error is not None:
        print(error, file=sys.stderr)


if __name__ == "__main__":
    main()

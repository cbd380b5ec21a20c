"""The command line: defines the commands and options, and runs the requested command."""

import argparse
import logging
import os
import sys
from typing import TYPE_CHECKING

from eldercart import __version__
from eldercart.settings import InvalidSettingsError, load_platform, load_tuning

if TYPE_CHECKING:
    from eldercart.settings.features import Features

EXIT_USAGE = 2
TUNING_VARIABLE = "ELDERCART_SETTINGS"
LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def set_up_logging() -> None:
    """Log to standard error at the level of the environment variable LOG_LEVEL (default: info)."""
    level = LOG_LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(
        stream=sys.stderr, level=level, format="%(levelname).1s %(name)s: %(message)s"
    )
    logging.getLogger("twisted").setLevel(logging.ERROR)
    logging.raiseExceptions = False


def _add_settings_options(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--features", metavar="FILE", help="the features that are switched on; none without it"
    )
    command.add_argument("--config", required=True, metavar="FILE", help="the platform's settings")
    command.add_argument(
        "--settings",
        metavar="FILE",
        default=os.environ.get(TUNING_VARIABLE),
        help=f"the operators' own settings (or {TUNING_VARIABLE})",
    )


def _add_client_options(command: argparse.ArgumentParser) -> None:
    command.add_argument("--server", required=True, metavar="HOST:PORT", help="a node's front")
    command.add_argument("--json", action="store_true", help="print the answer as it came")
    command.add_argument("--timeout", type=float, default=60.0, help="seconds to try for")


def build_parser() -> argparse.ArgumentParser:
    """Return the parser for all commands and their options."""
    parser = argparse.ArgumentParser(prog="eldercart", description="A cluster scheduler.")
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True)
    _add_settings_options(commands.add_parser("serve", help="run a controller node"))
    _add_settings_options(
        commands.add_parser("check-settings", help="check both settings files and stop")
    )
    submit = commands.add_parser("submit", help="submit a job")
    _add_client_options(submit)
    submit.add_argument(
        "--awaits",
        action="append",
        default=[],
        metavar="JOB",
        help="a job that must be done before this one starts, beside those in the file; repeatable",
    )
    submit.add_argument("file", help="the job as JSON; - for standard input")
    for name, text in (("status", "ask for a job's state"), ("cancel", "cancel a job")):
        command = commands.add_parser(name, help=text)
        _add_client_options(command)
        command.add_argument("job", help="the job's id")
    _add_duties_commands(
        commands.add_parser("duties", help="who holds which duty, and commands on that")
    )
    return parser


def _add_duties_commands(duties: argparse.ArgumentParser) -> None:
    commands = duties.add_subparsers(dest="duties_command", required=True)
    _add_client_options(commands.add_parser("list", help="all duties, a line each"))
    for name, text in (
        ("show", "one duty in full"),
        ("hand-over", "hand a duty over to another node"),
        ("pause", "nobody carries the duty out until it is resumed"),
        ("resume", "end a pause"),
    ):
        command = commands.add_parser(name, help=text)
        _add_client_options(command)
        command.add_argument("duty", help="rental, return, cleanup or catalog")
        if name == "hand-over":
            command.add_argument("--to", required=True, metavar="NODE", help="the node's label")
        elif name == "pause":
            command.add_argument("--reason", default="", help="shown to whoever asks")


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit status."""
    args = build_parser().parse_args(argv)
    set_up_logging()
    if args.command in ("serve", "check-settings"):
        return _run_node(args)
    if args.command == "duties":
        from eldercart.cli import duties

        return duties.run(args)
    from eldercart.cli.client import run

    return run(args)


def _run_node(args: argparse.Namespace) -> int:
    """Run `serve` or `check-settings`; return the exit status.

    For invalid settings, it prints one line to standard error and returns EXIT_USAGE.
    """
    try:
        settings = load_platform(args.config)
        tuning = load_tuning(args.settings)
        features = None if args.features is None else _load_features(args.features)
    except InvalidSettingsError as err:
        print(err, file=sys.stderr)
        return EXIT_USAGE
    if args.command == "check-settings":
        print("settings are fine")
        if features is not None:
            print("features:", _feature_summary(features))
        return 0
    from eldercart.cli.serve import serve

    return serve(settings, tuning, features)


def _load_features(path: str) -> "Features":
    # Imported only if a features file is given, so that other nodes start without the import.
    from eldercart.settings.features import load_features

    return load_features(path)


def _feature_summary(features: "Features") -> str:
    if features.duties is None:
        return "none"
    return "duties " + " ".join(features.duties.enabled_leases)

"""The command line."""

import argparse
import logging
import os
import sys

from eldercart import __version__
from eldercart.settings import BadSettings, load_platform, load_tuning

TUNING_VARIABLE = "ELDERCART_SETTINGS"
LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def set_up_logging() -> None:
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(
        stream=sys.stderr, level=level, format="%(levelname).1s %(name)s: %(message)s"
    )
    logging.getLogger("twisted").setLevel(logging.ERROR)
    logging.raiseExceptions = False


def parser() -> argparse.ArgumentParser:
    p = argparse.ArgumentParser(prog="eldercart", description="A cluster scheduler.")
    p.add_argument("--version", action="version", version=__version__)
    sub = p.add_subparsers(dest="command", required=True)

    def settings_options(q: argparse.ArgumentParser) -> None:
        q.add_argument("--config", required=True, metavar="FILE", help="the platform's settings")
        q.add_argument(
            "--settings",
            metavar="FILE",
            default=os.environ.get(TUNING_VARIABLE),
            help=f"the operators' own settings (or {TUNING_VARIABLE})",
        )

    serve = sub.add_parser("serve", help="run a controller node")
    settings_options(serve)
    check = sub.add_parser("check-settings", help="check both settings files and stop")
    settings_options(check)

    def client_options(q: argparse.ArgumentParser) -> None:
        q.add_argument("--server", required=True, metavar="HOST:PORT", help="a node's front")
        q.add_argument("--json", action="store_true", help="print the answer as it came")
        q.add_argument("--timeout", type=float, default=60.0, help="seconds to try for")

    submit = sub.add_parser("submit", help="submit a job")
    client_options(submit)
    submit.add_argument(
        "--awaits",
        action="append",
        default=[],
        metavar="JOB",
        help="a job that must be done before this one starts, beside those in the file; repeatable",
    )
    submit.add_argument("file", help="the job as JSON; - for standard input")
    for name, text in (("status", "ask for a job's state"), ("cancel", "cancel a job")):
        q = sub.add_parser(name, help=text)
        client_options(q)
        q.add_argument("job", help="the job's id")
    return p


def main(argv: list[str] | None = None) -> int:
    args = parser().parse_args(argv)
    set_up_logging()
    if args.command in ("serve", "check-settings"):
        try:
            settings = load_platform(args.config)
            tuning = load_tuning(args.settings)
        except BadSettings as err:
            print(err, file=sys.stderr)
            return 2
        if args.command == "check-settings":
            print("settings are fine")
            return 0
        from eldercart.cli.serve import serve

        return serve(settings, tuning)
    from eldercart.cli.client import run

    return run(args)

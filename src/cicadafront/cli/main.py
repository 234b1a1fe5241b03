"""Entry point of the command `cicadafront`."""

from importlib import metadata

from cleo import application

from cicadafront.cli import config, explain, fleet, keys, load

COMMANDS = (
    config.CheckCommand,
    config.MergeCommand,
    config.DiffCommand,
    config.ApplyCommand,
    config.HistoryCommand,
    fleet.ConfigStatusCommand,
    fleet.StatusCommand,
    fleet.TargetsCommand,
    fleet.AccountsCommand,
    fleet.TraceCommand,
    explain.ExplainCommand,
    fleet.ShardReleaseCommand,
    keys.KeyCreateCommand,
    keys.KeyWithdrawCommand,
    load.LoadCommand,
)


def build() -> application.Application:
    """Returns the application with all commands."""
    built = application.Application("cicadafront", _version())
    for command in COMMANDS:
        built.add(command())
    return built


def _version() -> str:
    try:
        return metadata.version("cicadafront")
    except metadata.PackageNotFoundError:
        return "unknown"


def main() -> int:
    """Runs the command line; exits the process with its exit code."""
    return build().run()


if __name__ == "__main__":
    main()

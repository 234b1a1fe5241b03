"""Commands that create and withdraw callers' keys."""

import os
import pathlib
import re
import secrets
import tempfile
import tomllib

from cleo.helpers import argument, option

from cicadafront import errors
from cicadafront.cli import base
from cicadafront.config import folder, model

_HEADER = re.compile(r"\s*\[")


class KeyCreateCommand(base.BaseCommand):
    """Creates a key; the token is not stored anywhere."""

    name = "key create"
    description = "Prints a new token once, and the TOML lines to add."
    help = base.helped(
        "key create amani", "key create amani --dir examples/kaburi"
    )
    arguments = [argument("account", "Client account of the key.")]
    options = [
        base.JSON,
        option("id", None, "Key id (default: random).", flag=False),
        option(
            "dir",
            None,
            "Folder in which the account must exist and the id be free.",
            flag=False,
        ),
    ]

    def perform(self) -> base.Exit:
        """Prints token and TOML lines."""
        account = self.argument("account")
        id = self.option("id") or secrets.token_hex(6)
        secret = secrets.token_urlsafe(32)
        digest = model.secret_digest(secret).hex()
        toml = f'[keys.{id}]\naccount = "{account}"\ndigest = "{digest}"'
        self._check(account, id, toml)
        token = f"{model.TOKEN_PREFIX}_{id}_{secret}"
        self.show(
            {"id": id, "token": token, "toml": toml},
            [
                "Token, shown only now; hand it to the caller:",
                f"  {token}",
                "Add to a file of the folder, then apply it:",
                toml,
            ],
        )
        return base.Exit.OK

    def _check(self, account: str, id: str, toml: str) -> None:
        """Refuses names that the folder would refuse."""
        directory = self.option("dir")
        checks = ("account", folder.account_name), ("--id", folder.key_id)
        for (name, check), value in zip(checks, (account, id), strict=True):
            try:
                check(value)
            except ValueError as error:
                raise errors.ConfigError(
                    "(new key)", name, str(error)
                ) from None
        if directory is None:
            return
        files = folder.read_folder(directory)
        if id in folder.merge(files).values["keys"]:
            raise errors.ConfigError(
                directory, f"keys.{id}", "exists already; choose another --id"
            )
        folder.merge(files | {"~new-key.toml": toml.encode()})


class KeyWithdrawCommand(base.BaseCommand):
    """Removes a key from the files of a folder."""

    name = "key withdraw"
    description = "Removes a key from a folder; apply it to make it effective."
    help = base.helped("key withdraw example1 examples/kaburi")
    arguments = [
        argument("key", "Key id: the part of the token after `cf_`."),
        argument("dir", "Folder with the TOML files."),
    ]

    def perform(self) -> base.Exit:
        """Rewrites the files that hold the key."""
        id, directory = self.argument("key"), self.argument("dir")
        files = folder.read_folder(directory)
        holding = [
            name
            for name, content in sorted(files.items())
            if id in _keys(folder.parse(name, content))
        ]
        if not holding:
            raise base.NotFoundError(
                f"no file of {directory} has keys.{id}; see `cicadafront"
                f" config merge {directory}`"
            )
        # All files are prepared before the first is written.
        changed = {name: without_key(name, files[name], id) for name in holding}
        for name, content in changed.items():
            _replace(pathlib.Path(directory) / name, content)
        self.show(
            {"key": id, "files": holding},
            [
                f"removed keys.{id} from {', '.join(holding)}; run"
                f" `cicadafront config apply {directory}` to withdraw it"
            ],
        )
        return base.Exit.OK


def _keys(document: dict[str, object]) -> dict[str, object]:
    keys = document.get("keys")
    return keys if isinstance(keys, dict) else {}


def without_key(file: str, content: bytes, id: str) -> bytes:
    """Returns the content of a file without one key.

    Comments and order of the rest stay. The result is compared with the
    original value by value.

    Raises:
        ConfigError: The key does not stand in a table of its own.
    """
    header = re.compile(
        r"""\s*\[\s*("keys"|'keys'|keys)\s*\.\s*("ID"|'ID'|ID)\s*\]""".replace(
            "ID", re.escape(id)
        )
    )
    kept: list[str] = []
    # Comments right before the next table belong to that one.
    comments: list[str] = []
    inside = False
    for line in content.decode().splitlines(keepends=True):
        if _HEADER.match(line):
            kept += comments
            comments = []
            inside = header.match(line) is not None
        if not inside:
            kept.append(line)
        elif not line.strip() or line.lstrip().startswith("#"):
            comments.append(line)
        else:
            comments = []
    result = "".join(kept)
    wanted = folder.parse(file, content)
    del _keys(wanted)[id]
    if not _keys(wanted):
        wanted.pop("keys", None)
    try:
        actual = tomllib.loads(result)
    except tomllib.TOMLDecodeError:
        actual = None
    if actual is not None and not _keys(actual):
        actual.pop("keys", None)
    if actual != wanted:
        raise errors.ConfigError(
            file,
            f"keys.{id}",
            "does not stand in a table of its own; remove it by hand",
        )
    return result.encode()


def _replace(path: pathlib.Path, content: bytes) -> None:
    """Writes a file so that a crash leaves the old or the new content."""
    handle, temporary = tempfile.mkstemp(dir=path.parent, prefix=".")
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(content)
        os.chmod(temporary, path.stat().st_mode)
        os.replace(temporary, path)
    except BaseException:
        os.unlink(temporary)
        raise

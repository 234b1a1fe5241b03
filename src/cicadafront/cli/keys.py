"""Commands that create and withdraw API keys of callers."""

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

_TABLE_HEADER = re.compile(r"\s*\[")


class KeyCreateCommand(base.BaseCommand):
    """Creates an API key; its token is not stored anywhere."""

    name = "key create"
    description = "Prints a new token once, and the TOML lines to add."
    help = base.help_text(
        "key create amani", "key create amani --dir examples/kaburi"
    )
    arguments = [argument("account", "Client account of the key.")]
    options = [
        base.JSON,
        option("id", None, "Key id (default: random).", flag=False),
        option(
            "dir",
            None,
            "Folder that must contain the account and no key with this id.",
            flag=False,
        ),
    ]

    def perform(self) -> base.Exit:
        """Prints the token and the TOML lines."""
        account = self.argument("account")
        id = self.option("id") or secrets.token_hex(6)
        secret = secrets.token_urlsafe(32)
        digest = model.secret_digest(secret).hex()
        toml = f'[keys.{id}]\naccount = "{account}"\ndigest = "{digest}"'
        self._validate(account, id, toml)
        token = f"{model.TOKEN_PREFIX}_{id}_{secret}"
        self.show(
            {"id": id, "token": token, "toml": toml},
            [
                "Token, shown only once; pass it to the caller:",
                f"  {token}",
                "Add to a file of the folder, then apply it:",
                toml,
            ],
        )
        return base.Exit.OK

    def _validate(self, account: str, id: str, toml: str) -> None:
        """Checks that the folder would accept the account and the key id.

        Raises:
            ConfigError: The account or the key id is invalid or in use.
        """
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
                directory, f"keys.{id}", "already exists; choose another --id"
            )
        folder.merge(files | {"~new-key.toml": toml.encode()})


class KeyWithdrawCommand(base.BaseCommand):
    """Removes an API key from the files of a folder."""

    name = "key withdraw"
    description = (
        "Removes a key from a folder; takes effect with `config apply`."
    )
    help = base.help_text("key withdraw example1 examples/kaburi")
    arguments = [
        argument("key", "Key id: the part of the token after `cf_`."),
        argument("dir", "Folder with the TOML files."),
    ]

    def perform(self) -> base.Exit:
        """Rewrites the files that contain the key."""
        id, directory = self.argument("key"), self.argument("dir")
        files = folder.read_folder(directory)
        files_with_key = [
            name
            for name, content in sorted(files.items())
            if id in _keys(folder.parse(name, content))
        ]
        if not files_with_key:
            raise base.NotFoundError(
                f"no file of {directory} has keys.{id}; see `cicadafront"
                f" config merge {directory}`"
            )
        # Prepares all files before writing the first one, so that an error
        # leaves every file unchanged.
        changed = {
            name: without_key(name, files[name], id) for name in files_with_key
        }
        for name, content in changed.items():
            _replace_file(pathlib.Path(directory) / name, content)
        self.show(
            {"key": id, "files": files_with_key},
            [
                f"removed keys.{id} from {', '.join(files_with_key)}; run"
                f" `cicadafront config apply {directory}` to withdraw it"
            ],
        )
        return base.Exit.OK


def _keys(document: dict[str, object]) -> dict[str, object]:
    keys = document.get("keys")
    return keys if isinstance(keys, dict) else {}


def without_key(file: str, content: bytes, id: str) -> bytes:
    """Returns the content of a file without one key.

    Keeps the order and the comments of the rest. The parsed result is compared
    with the parsed original.

    Raises:
        ConfigError: The key is not defined in a table of its own.
    """
    header = re.compile(
        r"""\s*\[\s*("keys"|'keys'|keys)\s*\.\s*("ID"|'ID'|ID)\s*\]""".replace(
            "ID", re.escape(id)
        )
    )
    kept: list[str] = []
    # Comments directly before the next table header belong to that table.
    comments: list[str] = []
    in_key_table = False
    for line in content.decode().splitlines(keepends=True):
        if _TABLE_HEADER.match(line):
            kept += comments
            comments = []
            in_key_table = header.match(line) is not None
        if not in_key_table:
            kept.append(line)
        elif not line.strip() or line.lstrip().startswith("#"):
            comments.append(line)
        else:
            comments = []
    result = "".join(kept)
    expected = folder.parse(file, content)
    del _keys(expected)[id]
    if not _keys(expected):
        expected.pop("keys", None)
    try:
        actual = tomllib.loads(result)
    except tomllib.TOMLDecodeError:
        actual = None
    if actual is not None and not _keys(actual):
        actual.pop("keys", None)
    if actual != expected:
        raise errors.ConfigError(
            file,
            f"keys.{id}",
            "is not defined in a table of its own; remove it by hand",
        )
    return result.encode()


def _replace_file(path: pathlib.Path, content: bytes) -> None:
    """Replaces a file atomically.

    A crash leaves either the old or the new content.
    """
    handle, temporary = tempfile.mkstemp(dir=path.parent, prefix=".")
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(content)
        os.chmod(temporary, path.stat().st_mode)
        os.replace(temporary, path)
    except BaseException:
        os.unlink(temporary)
        raise

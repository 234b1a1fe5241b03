"""Reads the operators' TOML files and merges them in file-name order."""

import os
import pathlib
import tomllib
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from cicadafront import errors
from cicadafront.config import model, schema

_NAME = r"[A-Za-z0-9][A-Za-z0-9.-]{0,63}"
account_name = schema.text(
    _NAME, "a name of 1 to 64 letters, digits, '.' or '-'"
)
# Key ids have no underscore, because it separates the fields of a token.
key_id = schema.text(
    r"[A-Za-z0-9][A-Za-z0-9-]{0,63}",
    "a key id of 1 to 64 letters, digits or '-'",
)
_prefix = schema.text(
    r"/|(/(?!\.{1,2}(/|$))[!-\"$-.0->@-~]+){1,64}/?",
    "a path such as /rounds without query, spaces, empty or dot segments",
)
_method = schema.text(r"[A-Z]{1,20}", "a method such as GET in capitals")
_digest = schema.text(r"[0-9a-f]{64}", "64 lower-case hexadecimal digits")

SECTIONS: dict[str, schema.Fields] = {
    "accounts": {
        "rate": schema.Field(
            schema.number(0.001, 1e6, " (requests/s)"), required=True
        ),
        "burst": schema.Field(
            schema.number(1, 1e7, " (requests)"), required=True
        ),
        "weight": schema.Field(schema.number(0.01, 100), 1.0),
    },
    "keys": {
        "account": schema.Field(account_name, required=True),
        "digest": schema.Field(_digest, required=True),
    },
    "services": {"floor": schema.Field(schema.number(0, 1), 0.5)},
    "routes": {
        "prefix": schema.Field(_prefix, required=True),
        "service": schema.Field(account_name, required=True),
        "methods": schema.Field(schema.list_of(_method, 16), []),
        "open": schema.Field(schema.boolean, False),
        "repeatable": schema.Field(schema.boolean, False),
        "timeout": schema.Field(schema.number(0.1, 3600, " (seconds)"), 30.0),
    },
}
# Foreign keys: section, key, and the section whose entries the key refers to.
REFERENCES = (
    ("keys", "account", "accounts"),
    ("routes", "service", "services"),
)
DEFAULT_ORIGIN = "(default)"

Entries = dict[str, dict[str, dict[str, Any]]]


@attrs.frozen
class Merged:
    """The merged files.

    Attributes:
        values: Every value by section, entry and key, including defaults.
        origins: File that set each value; `(default)` for defaults.
    """

    values: Entries
    origins: dict[tuple[str, str, str], str]

    def configuration(self) -> model.Configuration:
        """Returns the values as a configuration without a revision."""
        values = self.values
        return model.Configuration(
            accounts={
                id: model.ClientAccount(id, **entry)
                for id, entry in values["accounts"].items()
            },
            keys={
                id: model.Key(
                    id, entry["account"], bytes.fromhex(entry["digest"])
                )
                for id, entry in values["keys"].items()
            },
            services={
                name: model.Service(name, **entry)
                for name, entry in values["services"].items()
            },
            routes={
                id: model.Route(
                    id, **entry | {"methods": frozenset(entry["methods"])}
                )
                for id, entry in values["routes"].items()
            },
        )


def read_folder(folder: str | os.PathLike[str]) -> dict[str, bytes]:
    """Returns the contents of the folder's `*.toml` files by name.

    Raises:
        InvalidConfigurationError: The folder or a file cannot be read, or
            the folder has no such file.
    """
    path = pathlib.Path(folder)
    files = {}
    found = []
    try:
        names = sorted(os.listdir(path))
    except OSError as error:
        raise schema.InvalidConfigurationError(
            [_file_error(str(folder), error, "name an existing folder")]
        ) from error
    for name in names:
        if not name.endswith(".toml") or name.startswith("."):
            continue
        # Names that are not valid UTF-8 cannot be printed in messages.
        display_name = name.encode(errors="backslashreplace").decode()
        try:
            files[display_name] = (path / name).read_bytes()
        except OSError as error:
            found.append(
                _file_error(display_name, error, "make the file readable")
            )
    if not files and not found:
        found.append(
            errors.ConfigError(
                str(folder), "*.toml", "no such file; add one to the folder"
            )
        )
    if found:
        raise schema.InvalidConfigurationError(found)
    return files


def _file_error(file: str, error: OSError, remedy: str) -> errors.ConfigError:
    return errors.ConfigError(file, "(file)", f"{error.strerror}; {remedy}")


def parse(file: str, content: bytes) -> dict[str, Any]:
    """Parses one TOML file.

    Raises:
        ConfigError: The content is not valid UTF-8 or not valid TOML.
    """
    try:
        return tomllib.loads(content.decode())
    except UnicodeDecodeError as error:
        raise errors.ConfigError(
            file, "(file)", f"{error.reason}; save the file as UTF-8"
        ) from None
    # Apart from TOMLDecodeError, tomllib raises these for huge numbers, invalid
    # dates and deep nesting.
    except (ValueError, OverflowError, RecursionError) as error:
        raise errors.ConfigError(
            file, "(file)", f"is not valid TOML: {error}; correct the syntax"
        ) from None


def merge(files: Mapping[str, bytes]) -> Merged:
    """Merges files in the order of their names.

    Raises:
        InvalidConfigurationError: The files are invalid; it lists all errors
            of all files.
    """
    merger = _Merger()
    for file in sorted(files):
        try:
            merger.add(file, parse(file, files[file]))
        except errors.ConfigError as error:
            merger.errors.append(error)
    merger.finish()
    if merger.errors:
        raise schema.InvalidConfigurationError(merger.errors)
    return Merged(merger.values, merger.origins)


def load(folder: str | os.PathLike[str]) -> Merged:
    """Reads and merges the files of a folder.

    Raises:
        InvalidConfigurationError: A file cannot be read or is invalid.
    """
    return merge(read_folder(folder))


class _Merger:
    """Merges files and collects the errors found in them."""

    def __init__(self) -> None:
        self.values: Entries = {section: {} for section in SECTIONS}
        self.origins: dict[tuple[str, str, str], str] = {}
        self.errors: list[errors.ConfigError] = []
        self._invalid: set[tuple[str, str, str]] = set()
        self._files: dict[tuple[str, str], str] = {}

    def add(self, file: str, document: dict[str, Any]) -> None:
        """Adds a file, whose values override those of earlier files."""
        for section, entries in document.items():
            if section not in SECTIONS:
                self.errors.append(
                    schema.unknown_key_error(file, section, section, SECTIONS)
                )
            elif not isinstance(entries, dict):
                remedy = f"write tables such as [{section}.NAME]"
                self.errors.append(errors.ConfigError(file, section, remedy))
            else:
                for id, entry in entries.items():
                    self._add_entry(file, section, id, entry)

    def _add_entry(self, file: str, section: str, id: str, entry: Any) -> None:
        path = f"{section}.{id}"
        try:
            (key_id if section == "keys" else account_name)(id)
        except ValueError as error:
            self.errors.append(
                errors.ConfigError(file, path, f"the name {error}")
            )
            return
        accepted, found = schema.check_table(
            file, path, entry, SECTIONS[section]
        )
        self.errors += found
        if not isinstance(entry, dict):
            return
        self._files[section, id] = file
        self.values[section].setdefault(id, {}).update(accepted)
        for key in accepted:
            self.origins[section, id, key] = file
        self._invalid |= {
            (section, id, key) for key in entry.keys() - accepted.keys()
        }

    def finish(self) -> None:
        """Fills in defaults and checks references and routes."""
        for section, fields in SECTIONS.items():
            for id, entry in self.values[section].items():
                self._fill_defaults(section, id, entry, fields)
        for section, key, target in REFERENCES:
            for id, entry in self.values[section].items():
                name = entry.get(key)
                if name is not None and name not in self.values[target]:
                    self._add_error(
                        section,
                        id,
                        key,
                        f"{target}.{name} does not exist; add"
                        f" [{target}.{name}] or correct the name",
                    )
        self._check_routes()

    def _fill_defaults(
        self,
        section: str,
        id: str,
        entry: dict[str, Any],
        fields: schema.Fields,
    ) -> None:
        for key, field in fields.items():
            if key in entry or (section, id, key) in self._invalid:
                continue
            if field.required:
                self._add_error(section, id, key, "is missing; add it")
            else:
                entry[key] = field.default
                self.origins[section, id, key] = DEFAULT_ORIGIN

    def _check_routes(self) -> None:
        """Rejects routes with the same prefix and method."""
        seen: dict[tuple[str, str], str] = {}
        for id, route in sorted(self.values["routes"].items()):
            if "prefix" not in route or "methods" not in route:
                continue
            for method in route["methods"] or [""]:
                route_key = route["prefix"].rstrip("/"), method
                other = seen.setdefault(route_key, id)
                if other != id:
                    self._add_error(
                        "routes",
                        id,
                        "prefix",
                        f"routes.{other} has the same prefix and"
                        f" {method or 'no methods'}; change one of them",
                    )

    def _add_error(self, section: str, id: str, key: str, message: str) -> None:
        origin = self.origins.get((section, id, key), DEFAULT_ORIGIN)
        if origin == DEFAULT_ORIGIN:
            origin = self._files[section, id]
        self.errors.append(
            errors.ConfigError(origin, f"{section}.{id}.{key}", message)
        )


def entries(values: Entries) -> Iterable[tuple[str, str, str, Any]]:
    """Yields section, entry, key and value in a fixed order."""
    for section in SECTIONS:
        for id in sorted(values[section]):
            for key in SECTIONS[section]:
                yield section, id, key, values[section][id][key]

"""Checks concurrent `config apply` commands as a compare-and-swap register."""

import collections
import json
import os
import pathlib
import random
import re
import shutil
import sys
import time
from typing import Any

import attrs
from twisted.internet import utils

from cicadafront.cli import base
from cicadafront.config import apply
from cicadafront.store import client
from tests.system import world

WRITERS = 4
ROUNDS = 5
# Time until an accepted configuration is in force on all instances (P9).
PROPAGATION_SECONDS = 5.0
SAMPLE_SECONDS = 0.2
FAULT_SECONDS = 1.5
_WINNER = re.compile(
    r"([\w-]+)\s+applied\s+revision\s+(\d+)\s+first\s+\(write\s+(\w+)\)"
)


@attrs.frozen
class Applied:
    """One command and its result.

    Attributes:
        author: Author given to the command.
        began: Time at which it started, in seconds.
        ended: Time at which it exited, in seconds.
        code: Exit code.
        output: Standard output and standard error.
    """

    author: str
    began: float
    ended: float
    code: int
    output: str

    def accepted(self) -> tuple[int, str] | None:
        """Returns the revision and the write if the change took effect."""
        if self.code != base.Exit.OK:
            return None
        data = json.loads(self.output)
        return (data["revision"], data["write"]) if data["changed"] else None


@attrs.define
class Race:
    """Concurrent writers, faults of the store, and samples of the instances.

    Attributes:
        harness: Harness of the fleet under test.
        seed: Seed of all draws.
        commands: Commands that have exited.
        samples: Revisions reported by each instance, in order.
        writing: Whether the writers are still running.
    """

    harness: world.FleetHarness
    seed: int
    commands: list[Applied] = attrs.field(factory=list)
    samples: dict[str, list[int]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    writing: bool = True

    async def run(self) -> list[str]:
        """Runs the race; returns the problems of its history."""
        await self.harness.gather(
            self.rounds(), self.inject_store_faults(), self.sample()
        )
        await self.harness.store_faults(lose_answers=0)
        records = await self.history()
        last = records[-1]["revision"]

        async def revision_in_force() -> bool:
            return await self.sample_once() == {last}

        problems = check(records, self.commands, self.samples)
        if not await self.harness.wait_until(
            revision_in_force, PROPAGATION_SECONDS
        ):
            problems.append(f"instances do not reach revision {last}")
        return problems

    async def rounds(self) -> None:
        """Lets all writers change the configuration concurrently.

        Half of them pass the base revision, so that all but one of these must
        be rejected.
        """
        folders = [self.folder(number) for number in range(WRITERS)]
        for round_number in range(ROUNDS):
            newest = max(await self.sample_once())
            await self.harness.gather(
                *(
                    self.change(folder, number, round_number, newest)
                    for number, folder in enumerate(folders)
                )
            )
        self.writing = False

    def folder(self, number: int) -> pathlib.Path:
        """Returns a writer's copy of the example configuration."""
        folder = self.harness.fleet.folder / f"writer-{number}"
        source = pathlib.Path("examples") / self.harness.fleet.deployment.name
        shutil.copytree(source, folder)
        return folder

    async def change(
        self, folder: pathlib.Path, number: int, round_number: int, newest: int
    ) -> None:
        """Applies one change."""
        rate = 10 + number * ROUNDS + round_number
        text = f"[accounts.reports]\nrate = {rate}\nburst = {2 * rate}\n"
        (folder / "90-race.toml").write_text(text)
        base = ["--base", str(newest)] if number % 2 else []
        await self.apply(folder.name, folder, base)

    async def apply(
        self, author: str, folder: pathlib.Path, base: list[str]
    ) -> None:
        """Runs one command."""
        arguments = ["-m", "cicadafront.cli.main", "config", "apply"]
        arguments += [str(folder), "--json", "--author", author]
        arguments += ["--store", self.harness.fleet.store_url, *base]
        began = time.monotonic()
        ended: Any = await utils.getProcessOutputAndValue(
            sys.executable, arguments, env=dict(os.environ)
        )
        out, err, code = ended
        output = (out + err).decode()
        self.commands.append(
            Applied(author, began, time.monotonic(), code, output)
        )

    async def inject_store_faults(self) -> None:
        """Makes the store lose responses to completed writes, and writes."""
        rng = random.Random(f"{self.seed}/store")
        while self.writing:
            name = rng.choice(("lose_answers", "lose_requests"))
            await self.harness.store_faults(**{name: 1})
            await self.harness.pause(FAULT_SECONDS)

    async def sample(self) -> None:
        """Samples the revisions of all instances."""
        while self.writing:
            await self.sample_once()
            await self.harness.pause(SAMPLE_SECONDS)

    async def sample_once(self) -> set[int]:
        """Reads the revision of each instance once; returns all of them."""
        found = set()
        for instance in self.harness.fleet.instances.values():
            url = f"{instance.operators_url}/status"
            response = await self.harness.admin.send("GET", url)
            if response.ok:
                revision = response.json()["revision"]
                self.samples[instance.id].append(revision)
                found.add(revision)
        return found

    async def history(self) -> list[dict[str, Any]]:
        """Returns the records of all revisions."""
        store = client.HttpStore(
            self.harness.reactor, self.harness.fleet.store_url, 10.0
        )
        records = await apply.history(store)
        await store.close()
        return records


def check(
    records: list[dict[str, Any]],
    commands: list[Applied],
    samples: dict[str, list[int]],
) -> list[str]:
    """Returns the violations of a compare-and-swap register."""
    problems = _check_chain(records)
    problems += _check_accepted(records, commands)
    problems += _check_losers(records, commands)
    for instance, revisions in samples.items():
        if revisions != sorted(revisions):
            problems.append(
                f"{instance} went back to an older revision: {revisions}"
            )
    return problems


def _check_chain(records: list[dict[str, Any]]) -> list[str]:
    problems = []
    for number, record in enumerate(records, 1):
        parent = records[number - 2]["digest"] if number > 1 else ""
        if (record["revision"], record["parent"]) != (number, parent):
            problems.append(f"revision {number} does not follow its parent")
    return problems


def _check_accepted(
    records: list[dict[str, Any]], commands: list[Applied]
) -> list[str]:
    problems = []
    writes = {record["revision"]: record["write"] for record in records}
    accepted = [(item, item.accepted()) for item in commands]
    winners = [(item, *found) for item, found in accepted if found is not None]
    for item, revision, write in winners:
        if writes.get(revision) != write:
            problems.append(f"{item.author} did not write revision {revision}")
        for other, later, _ in winners:
            if item.ended < other.began and revision >= later:
                problems.append(
                    f"revision {later} is not above the earlier {revision}"
                )
    revisions = collections.Counter(revision for _, revision, _ in winners)
    for revision, count in revisions.items():
        if count > 1:
            problems.append(
                f"revision {revision} is reported by {count} commands"
            )
    unknown = {
        item.author for item in commands if item.code == base.Exit.UNKNOWN
    }
    for record in records[1:]:
        known = record["revision"] in revisions
        if not known and record["author"] not in unknown:
            problems.append(f"no command reports revision {record['revision']}")
    return problems


def _check_losers(
    records: list[dict[str, Any]], commands: list[Applied]
) -> list[str]:
    problems = []
    known = {
        (record["author"], record["revision"], record["write"])
        for record in records
    }
    for item in commands:
        if item.code in (base.Exit.OK, base.Exit.UNKNOWN):
            continue
        if item.code == base.Exit.UNAVAILABLE:
            # The store lost a request before the manifest was written.
            continue
        found = _WINNER.search(item.output.replace("\\n", " "))
        if item.code != base.Exit.LOST or found is None:
            problems.append(f"{item.author}, exit {item.code}: {item.output}")
        elif (found[1], int(found[2]), found[3]) not in known:
            problems.append(
                f"{item.author} got a winner that does not exist: {found[0]}"
            )
    return problems

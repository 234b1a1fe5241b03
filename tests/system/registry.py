"""Racing `config apply` commands, checked as a compare-and-swap register."""

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
# Time for an accepted configuration to be in force everywhere (P9).
SPREAD_SECONDS = 5.0
SAMPLE_SECONDS = 0.2
FAULT_SECONDS = 1.5
_WINNER = re.compile(
    r"([\w-]+)\s+applied\s+revision\s+(\d+)\s+first\s+\(write\s+(\w+)\)"
)


@attrs.frozen
class Applied:
    """One command and what it reported.

    Attributes:
        author: Who ran it.
        began: Time of its start in seconds.
        ended: Time of its end in seconds.
        code: Exit code.
        text: What it printed.
    """

    author: str
    began: float
    ended: float
    code: int
    text: str

    def accepted(self) -> tuple[int, str] | None:
        """Returns revision and write if the change took effect."""
        if self.code != base.Exit.OK:
            return None
        data = json.loads(self.text)
        return (data["revision"], data["write"]) if data["changed"] else None


@attrs.define
class Race:
    """Writers, faults of the store, and samples of the instances.

    Attributes:
        world: The fleet.
        seed: Seed of all draws.
        done: Commands that have ended.
        samples: Revisions reported by each instance, in order.
        writing: Whether further changes come.
    """

    world: world.World
    seed: int
    done: list[Applied] = attrs.field(factory=list)
    samples: dict[str, list[int]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    writing: bool = True

    async def run(self) -> list[str]:
        """Runs the race; returns what is wrong with its history."""
        await self.world.together(self.rounds(), self.store(), self.sample())
        await self.world.store_faults(lose_answers=0)
        records = await self.history()
        last = records[-1]["revision"]

        async def everywhere() -> bool:
            return await self.take() == {last}

        wrong = check(records, self.done, self.samples)
        if not await self.world.until(everywhere, SPREAD_SECONDS):
            wrong.append(f"instances do not reach revision {last}")
        return wrong

    async def rounds(self) -> None:
        """Lets all writers change the configuration at the same time.

        Half of them name the revision that they started from, so that all but
        one of these must lose.
        """
        folders = [self.folder(number) for number in range(WRITERS)]
        for turn in range(ROUNDS):
            newest = max(await self.take())
            await self.world.together(
                *(
                    self.change(folder, number, turn, newest)
                    for number, folder in enumerate(folders)
                )
            )
        self.writing = False

    def folder(self, number: int) -> pathlib.Path:
        """Returns a writer's copy of the example configuration."""
        folder = self.world.fleet.folder / f"writer-{number}"
        source = pathlib.Path("examples") / self.world.fleet.deployment.name
        shutil.copytree(source, folder)
        return folder

    async def change(
        self, folder: pathlib.Path, number: int, turn: int, newest: int
    ) -> None:
        """Applies one change."""
        rate = 10 + number * ROUNDS + turn
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
        arguments += ["--store", self.world.fleet.store_url, *base]
        began = time.monotonic()
        ended: Any = await utils.getProcessOutputAndValue(
            sys.executable, arguments, env=dict(os.environ)
        )
        out, err, code = ended
        text = (out + err).decode()
        self.done.append(Applied(author, began, time.monotonic(), code, text))

    async def store(self) -> None:
        """Loses answers of writes that took effect, and writes."""
        draws = random.Random(f"{self.seed}/store")
        while self.writing:
            name = draws.choice(("lose_answers", "lose_requests"))
            await self.world.store_faults(**{name: 1})
            await self.world.pause(FAULT_SECONDS)

    async def sample(self) -> None:
        """Samples the revisions of all instances."""
        while self.writing:
            await self.take()
            await self.world.pause(SAMPLE_SECONDS)

    async def take(self) -> set[int]:
        """Samples once; returns the revisions."""
        found = set()
        for instance in self.world.fleet.instances.values():
            url = f"{instance.operators_url}/status"
            answer = await self.world.admin.send("GET", url)
            if answer.good:
                revision = answer.json()["revision"]
                self.samples[instance.id].append(revision)
                found.add(revision)
        return found

    async def history(self) -> list[dict[str, Any]]:
        """Returns the records of all revisions."""
        store = client.HttpStore(
            self.world.reactor, self.world.fleet.store_url, 10.0
        )
        records = await apply.history(store)
        await store.close()
        return records


def check(
    records: list[dict[str, Any]],
    done: list[Applied],
    samples: dict[str, list[int]],
) -> list[str]:
    """Returns what contradicts a compare-and-swap register."""
    wrong = _check_line(records)
    wrong += _check_accepted(records, done)
    wrong += _check_losers(records, done)
    for instance, revisions in samples.items():
        if revisions != sorted(revisions):
            wrong.append(f"{instance} went back: {revisions}")
    return wrong


def _check_line(records: list[dict[str, Any]]) -> list[str]:
    wrong = []
    for number, record in enumerate(records, 1):
        parent = records[number - 2]["digest"] if number > 1 else ""
        if (record["revision"], record["parent"]) != (number, parent):
            wrong.append(f"revision {number} does not follow its parent")
    return wrong


def _check_accepted(
    records: list[dict[str, Any]], done: list[Applied]
) -> list[str]:
    wrong = []
    writes = {record["revision"]: record["write"] for record in records}
    accepted = [(item, item.accepted()) for item in done]
    won = [(item, *found) for item, found in accepted if found is not None]
    for item, revision, write in won:
        if writes.get(revision) != write:
            wrong.append(f"{item.author} did not write revision {revision}")
        for other, later, _ in won:
            if item.ended < other.began and revision >= later:
                wrong.append(f"revision {later} began after {revision}")
    revisions = collections.Counter(revision for _, revision, _ in won)
    for revision, count in revisions.items():
        if count > 1:
            wrong.append(f"revision {revision} has {count} winners")
    unknown = {item.author for item in done if item.code == base.Exit.UNKNOWN}
    for record in records[1:]:
        known = record["revision"] in revisions
        if not known and record["author"] not in unknown:
            wrong.append(f"nobody reports revision {record['revision']}")
    return wrong


def _check_losers(
    records: list[dict[str, Any]], done: list[Applied]
) -> list[str]:
    wrong = []
    known = {
        (record["author"], record["revision"], record["write"])
        for record in records
    }
    for item in done:
        if item.code in (base.Exit.OK, base.Exit.UNKNOWN):
            continue
        if item.code == base.Exit.UNAVAILABLE:
            # The store lost a write before the manifest was put.
            continue
        found = _WINNER.search(item.text.replace("\\n", " "))
        if item.code != base.Exit.LOST or found is None:
            wrong.append(f"{item.author}, exit {item.code}: {item.text}")
        elif (found[1], int(found[2]), found[3]) not in known:
            wrong.append(f"{item.author} is told a wrong winner: {found[0]}")
    return wrong

"""Runs the tests of all modules in parallel processes.

Tests named in KNOWN-RED.txt are run and printed, but do not change the
verdict. The closing line has the form `N passed, N failed, N skipped`.
"""

import concurrent.futures
import os
import pathlib
import subprocess
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
MODULE_TIMEOUT_SECONDS = 280


def known_red() -> set[str]:
    """Returns the ids of tests listed in KNOWN-RED.txt."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {
        line.removeprefix("test: ").strip()
        for line in lines
        if line.startswith("test: ")
    }


def run_module(name: str) -> tuple[str, int, int, int, str]:
    """Runs one test module in a process of its own."""
    start = time.monotonic()
    try:
        done = subprocess.run(
            [sys.executable, "-m", "tests.run", "--module", name],
            capture_output=True,
            text=True,
            timeout=MODULE_TIMEOUT_SECONDS,
            cwd=ROOT,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return name, 0, 1, 0, f"{name}: no end in {MODULE_TIMEOUT_SECONDS} s"
    spent = time.monotonic() - start
    last = done.stdout.strip().splitlines()[-1:] or [""]
    counts = last[0].split()
    if len(counts) != 4 or counts[0] != "counts:":
        return name, 0, 1, 0, done.stdout + done.stderr
    passed, failed, skipped = (int(count) for count in counts[1:])
    text = f"{name}: {passed} passed, {failed} failed in {spent:.1f} s"
    for line in done.stdout.splitlines():
        if line.startswith("known red: "):
            text += f"\n{line}"
    if failed or done.returncode:
        text += "\n" + done.stdout + done.stderr
    return name, passed, max(failed, int(done.returncode != 0)), skipped, text


def child(name: str) -> int:
    """Runs one module in this process and prints its counts."""
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    result = unittest.TextTestRunner(stream=sys.stderr, verbosity=1).run(suite)
    bad = [case.id() for case, _ in result.failures + result.errors]
    bad += [case.id() for case in result.unexpectedSuccesses]
    red = known_red()
    listed = [case for case in bad if case in red]
    for case in listed:
        print(f"known red: {case}")
    failed = len(bad) - len(listed)
    skipped = len(result.skipped) + len(listed)
    passed = result.testsRun - len(bad) - len(result.skipped)
    print(f"counts: {passed} {failed} {skipped}")
    return 1 if failed else 0


def main() -> int:
    """Runs all modules, or one with `--module NAME`."""
    if sys.argv[1:2] == ["--module"]:
        return child(sys.argv[2])
    names = sorted(
        ".".join(path.relative_to(ROOT).with_suffix("").parts)
        for path in (ROOT / "tests").rglob("test_*.py")
    )
    workers = max(1, min(6, (os.cpu_count() or 2) - 2))
    totals = [0, 0, 0]
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        for _, passed, failed, skipped, text in pool.map(run_module, names):
            print(text, flush=True)
            for index, count in enumerate((passed, failed, skipped)):
                totals[index] += count
    print(f"{totals[0]} passed, {totals[1]} failed, {totals[2]} skipped")
    return 1 if totals[1] or not totals[0] else 0


if __name__ == "__main__":
    sys.exit(main())

"""Tests that docs/promises.md names tests and modules that exist."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs" / "promises.md").read_text()
PROMISES = [f"P{number}" for number in range(1, 10)]
_TEST = re.compile(r"`(tests\.[A-Za-z0-9_.]+)`")
_MODULE = re.compile(r"`([a-z]+/[a-z_]+\.py)`")


def load_cases(name: str) -> list[unittest.TestCase]:
    """Returns the test cases of a dotted name.

    Raises:
        AssertionError: The name does not exist.
    """
    loader = unittest.TestLoader()
    cases = []
    pending = [loader.loadTestsFromName(name)]
    while pending:
        for item in pending.pop():
            if isinstance(item, unittest.TestSuite):
                pending.append(item)
            else:
                cases.append(item)
    if loader.errors:
        raise AssertionError(loader.errors[0])
    return cases


def rows(title: str) -> dict[str, str]:
    """Returns the table rows below a heading by promise."""
    text = f"\n{PAGE}".split(f"\n{title}\n")[1].split("\n## ")[0]
    return {
        line.split()[1]: line
        for line in text.splitlines()
        if re.match(r"\| P\d ", line)
    }


class PromisesTest(unittest.TestCase):
    """Guards against promises without an existing test or module.

    This happens if a test or a module is renamed or removed and the page is
    not changed with it.
    """

    def test_every_promise_has_module_and_test(self):
        listed = rows("# Promises, and what attacks them")
        self.assertEqual(list(listed), PROMISES)
        for promise, line in listed.items():
            with self.subTest(promise):
                self.assertTrue(_TEST.findall(line))
                self.assertTrue(_MODULE.findall(line))

    def test_fault_combinations_of_every_promise(self):
        listed = rows("## Fault combinations covered")
        self.assertEqual(list(listed), PROMISES)

    def test_named_tests_exist(self):
        names = set(_TEST.findall(PAGE))
        self.assertGreaterEqual(len(names), len(PROMISES))
        for name in sorted(names):
            with self.subTest(name):
                self.assertTrue(load_cases(name))

    def test_missing_name_is_rejected(self):
        for name in ("tests.no_module.Test", "tests.docs.test_promises.Gone"):
            with self.subTest(name), self.assertRaises(AssertionError):
                load_cases(name)

    def test_named_modules_exist(self):
        for name in _MODULE.findall(PAGE):
            path = ROOT / "src" / "cicadafront" / name
            self.assertTrue(path.is_file() or (ROOT / name).is_file(), name)


if __name__ == "__main__":
    unittest.main()

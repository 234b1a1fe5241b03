"""Counts the instructions and calls of an action.

Unlike times, the counts do not depend on the machine or its load.
"""

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

Action = Callable[[], object]


def instructions(action: Action) -> int:
    """Returns the number of bytecode instructions that an action executes."""
    count = 0

    def trace(frame: FrameType, event: str, _argument: Any) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(before)
    return count


def calls(action: Action) -> int:
    """Returns the number of Python and C function calls of an action."""
    count = 0

    def profile(_frame: FrameType, event: str, _argument: Any) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    before = sys.getprofile()
    sys.setprofile(profile)
    try:
        action()
    finally:
        sys.setprofile(before)
    return count

"""Measures the cost of code as a number of executed opcodes, which is the same on every machine."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


class OpcodeCounter:
    """Context manager that counts the opcodes executed in frames of magpiefront."""

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> OpcodeCounter:
        sys.settrace(self._call)
        return self

    def __exit__(self, *_: object) -> None:
        sys.settrace(None)

    def _call(self, frame: FrameType, event: str, arg: object) -> Callable[..., Any] | None:
        if "magpiefront" not in frame.f_code.co_filename:
            return None
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        return self._step

    def _step(self, frame: FrameType, event: str, arg: object) -> Callable[..., Any]:
        self.count += event == "opcode"
        return self._step

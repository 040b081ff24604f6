"""Runs the program with one safeguard of machine maintenance disabled.

    python -m tests.maintenance.disabled_safeguard NAME [arguments of the program]

NAME is a key of `SAFEGUARDS`. "nothing" disables none.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from magpiefront.__main__ import main
from magpiefront.maintenance import exclusion_file, rules
from magpiefront.maintenance.exclusions import ExclusionView, SavedExclusions
from magpiefront.operator.compose import Composition
from tests.maintenance import simulations

SAFEGUARDS: dict[str, Callable[[], list[Any]]] = {
    **simulations.SAFEGUARDS,
    "exclusions survive a restart": lambda: [
        patch.object(exclusion_file, "load", lambda path: (SavedExclusions(), ""))
    ],
    "nothing is sent to the address of a node that is out": lambda: [
        patch.object(ExclusionView, "previous_node_at", lambda self, node, address: "")
    ],
    "a new process confirms nothing while its predecessor runs": lambda: [
        patch.object(Composition, "set_old_process_check", lambda self, before: None)
    ],
    "nothing": list,
    "nothing, with a load window of 5 s": lambda: [patch.object(rules, "LOAD_WINDOW_S", 5.0)],
}


if __name__ == "__main__":
    arguments = sys.argv[1:]
    for p in SAFEGUARDS[arguments[0]]():
        p.start()
    sys.exit(main(arguments[1:]))

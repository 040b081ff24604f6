"""Imports asyncio and uvloop without OpenSSL, which a proxy without an operator's file never uses.

OpenSSL's libraries take 4 MB of a process's resident memory, a sixth of what a proxy takes at rest. asyncio
can do without the module `ssl`; uvloop 0.23 imports it at its own import, and looks up the names that are
defined here. Both use it only for TLS connections, which the platform's proxy has none of.
"""

from __future__ import annotations

import sys
from collections.abc import Mapping, Sequence
from types import ModuleType

ERRORS = ("SSLEOFError", "SSLSyscallError", "SSLWantReadError", "SSLWantWriteError", "SSLZeroReturnError")
CLASSES = ("MemoryBIO", "SSLContext", "SSLObject", "SSLSocket")
ERROR_NUMBERS = {"SSL_ERROR_WANT_READ": 2, "SSL_ERROR_WANT_WRITE": 3, "SSL_ERROR_SYSCALL": 5}


def is_plain_run(arguments: Sequence[str], environ: Mapping[str, str]) -> bool:
    """Whether this command line runs a proxy without an operator's file."""
    return not arguments and not environ.get("LB_OPERATOR")


def placeholder() -> ModuleType:
    """A module in place of `ssl`: the names that are looked up at import, none of which can be used."""
    module = ModuleType("ssl")
    error = type("SSLError", (OSError,), {})
    names: dict[str, object] = {"SSLError": error, "CertificateError": error}
    names |= {name: type(name, (error,), {}) for name in ERRORS}
    names |= {name: type(name, (), {}) for name in CLASSES}
    names |= ERROR_NUMBERS
    names["create_default_context"] = None
    module.__dict__.update(names)
    return module


def import_event_loop() -> None:
    """Imports asyncio and uvloop without OpenSSL, if neither has been imported. If uvloop needs
    more than the placeholder has, everything is imported as usual."""
    if "asyncio" in sys.modules or "ssl" in sys.modules:
        return
    sys.modules["ssl"] = placeholder()
    try:
        import uvloop  # noqa: F401
    except (AttributeError, ImportError):
        for name in [n for n in sys.modules if n.partition(".")[0] in ("asyncio", "uvloop")]:
            del sys.modules[name]
    finally:
        del sys.modules["ssl"]

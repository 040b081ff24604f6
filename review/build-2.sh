#!/bin/sh
# To be run after the build of the deploy file: what the cases of the second review need beside it. Their stand-ins
# are Python with the standard library only (review/standins-2), so nothing is compiled; cases with an operator's
# file need the libraries of requirements-gateway.txt.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || exit 1
.venv/bin/python -c 'import h2, hpack, hyperframe, msgspec' 2>/dev/null ||
    .venv/bin/pip -q install -r requirements-gateway.txt || exit 1
exec .venv/bin/python -m py_compile review/standins-2/*.py

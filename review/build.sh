#!/usr/bin/env bash
# Installs what an operator's file needs (requirements-gateway.txt) into the environment that the `build` line of
# deploy/balancer.toml makes. The stand-ins (review/standins and standins/) need no more than that.
set -euo pipefail
cd "$(dirname "$0")/.."
cmp -s requirements.txt .venv/requirements.txt || (python3 -m venv --clear .venv && .venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/)
.venv/bin/python -c 'import h2, msgspec, http_sf, asyncpg' 2>/dev/null ||
    .venv/bin/pip -q install --disable-pip-version-check -r requirements-gateway.txt
.venv/bin/python -m compileall -q review standins >/dev/null || true

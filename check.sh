#!/usr/bin/env bash
# Lint, types, the limits of the decision module, and the tests.
set -euo pipefail
cd "$(dirname "$0")"
.venv-dev/bin/ruff check .
.venv-dev/bin/mypy
lines=$(grep -c '[^[:space:]]' magpiefront/brain.py)
if [ "$lines" -gt 450 ]; then
    echo "magpiefront/brain.py has $lines lines that are not blank; 450 at most" >&2
    exit 1
fi
if grep -nE '^.{111,}' magpiefront/brain.py; then
    echo "magpiefront/brain.py has lines of more than 110 columns" >&2
    exit 1
fi
echo "magpiefront/brain.py: $lines lines"
.venv-dev/bin/python -m pytest

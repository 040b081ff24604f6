#!/usr/bin/env bash
# Lint, types, the limits of the decision module, and the tests. What needs no socket goes beside the others, at a
# lower priority: it takes processors and no time of theirs.
set -euo pipefail
cd "$(dirname "$0")"
.venv-dev/bin/ruff check .
policy=$(.venv-dev/bin/python -c 'import tomllib; print(*tomllib.load(open("deploy/balancer.toml", "rb"))["policy"])')
lines=$(cat $policy | grep -c '[^[:space:]]')
if [ "$lines" -gt 1200 ]; then
    echo "the policy files have $lines lines that are not blank; 1200 at most" >&2
    exit 1
fi
if grep -nE '^.{111,}' $policy; then
    echo "a policy file has lines of more than 110 columns" >&2
    exit 1
fi
echo "policy: $lines lines"
apart=(tests/group/test_proof.py tests/group/test_hard_cases.py tests/takeover/test_proof.py)
said=$(mktemp)
trap 'rm -f "$said"' EXIT
(nice -n 10 .venv-dev/bin/mypy && nice -n 10 .venv-dev/bin/python -m pytest "${apart[@]}") >"$said" 2>&1 &
beside=$!
ended=0
.venv-dev/bin/python -m pytest "${apart[@]/#/--ignore=}" || ended=$?
wait "$beside" || ended=$?
cat "$said"
exit "$ended"

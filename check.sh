#!/usr/bin/env bash
# Runs the linter, the line length check of the policy files, the type check and the tests. The tests are
# three parallel runs of about the same duration: (1) the type check, the drill of machines and the
# simulations; (2) the drills of groups and the hard cases of takeover; (3) all other tests. With more
# processes at once, tests mistake the load of the machine for faults.
# Tests that KNOWN-RED.txt lists are expected to fail and are printed (tests/known_red.py).
set -euo pipefail
cd "$(dirname "$0")"
.venv-dev/bin/ruff check .
.venv-dev/bin/ruff format --check .
policy=$(.venv-dev/bin/python -c 'import tomllib; print(*tomllib.load(open("deploy/balancer.toml", "rb"))["policy"])')
if grep -nE '^.{111,}' $policy; then
    echo "a policy file has lines of more than 110 columns" >&2
    exit 1
fi
simulated=(tests/group/test_proof.py tests/group/test_hard_cases.py tests/maintenance/test_proof.py)
groups=(tests/group/test_drill.py tests/takeover/test_drill.py tests/takeover/test_between.py
    tests/takeover/test_hard_cases.py)
machines=(tests/maintenance/test_drill.py tests/record/test_steps.py)
pytest=(.venv-dev/bin/python -m pytest)
output=$(mktemp -d)
trap 'rm -rf "$output"' EXIT
(.venv-dev/bin/mypy && "${pytest[@]}" "${machines[@]}" "${simulated[@]}") >"$output/machines" 2>&1 &
background_pids=($!)
"${pytest[@]}" "${groups[@]}" >"$output/groups" 2>&1 &
background_pids+=($!)
in_background=("${simulated[@]}" "${groups[@]}" "${machines[@]}")
status=0
"${pytest[@]}" "${in_background[@]/#/--ignore=}" || status=$?
for pid in "${background_pids[@]}"; do
    wait "$pid" || status=$?
done
cat "$output"/*
exit "$status"

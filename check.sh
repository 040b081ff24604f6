#!/usr/bin/env bash
# Lint, types, the width of the decision modules, and the tests, in three lanes of about one length beside each other:
# types, the drill of machines and what simulates; the drills of groups and the hard cases of take-over; and the rest.
# More processes at once are taken for faults of a busy machine.
# Tests that KNOWN-RED.txt lists are passed over and printed (tests/known_red.py).
set -euo pipefail
cd "$(dirname "$0")"
.venv-dev/bin/ruff check .
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
said=$(mktemp -d)
trap 'rm -rf "$said"' EXIT
(.venv-dev/bin/mypy && "${pytest[@]}" "${machines[@]}" "${simulated[@]}") >"$said/machines" 2>&1 &
beside=($!)
"${pytest[@]}" "${groups[@]}" >"$said/groups" 2>&1 &
beside+=($!)
elsewhere=("${simulated[@]}" "${groups[@]}" "${machines[@]}")
ended=0
"${pytest[@]}" "${elsewhere[@]/#/--ignore=}" || ended=$?
for each in "${beside[@]}"; do
    wait "$each" || ended=$?
done
cat "$said"/*
exit "$ended"

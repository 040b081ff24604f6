#!/usr/bin/env bash
# Lint, types, the limits of the decision module, and the tests, in lanes beside each other. What needs no socket has
# a lower priority: it takes processors and no time of the others. What starts whole groups of processes waits most
# of its time; more of it at once is taken for faults of a busy machine, so the drill of machines comes after proofs.
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
proofs=(tests/group/test_proof.py tests/group/test_hard_cases.py tests/maintenance/test_proof.py tests/test_ends.py)
more=(tests/takeover/test_proof.py)
groups=(tests/group/test_drill.py tests/takeover/test_drill.py tests/takeover/test_between.py
    tests/takeover/test_hard_cases.py)
machines=(tests/maintenance/test_drill.py)
pytest=(.venv-dev/bin/python -m pytest)
said=$(mktemp -d)
trap 'rm -rf "$said"' EXIT
(nice -n 10 .venv-dev/bin/mypy && nice -n 10 "${pytest[@]}" "${more[@]}" && "${pytest[@]}" "${machines[@]}") \
    >"$said/more" 2>&1 &
beside=($!)
nice -n 10 "${pytest[@]}" "${proofs[@]}" >"$said/proofs" 2>&1 &
beside+=($!)
"${pytest[@]}" "${groups[@]}" >"$said/groups" 2>&1 &
beside+=($!)
elsewhere=("${proofs[@]}" "${more[@]}" "${groups[@]}" "${machines[@]}")
ended=0
"${pytest[@]}" "${elsewhere[@]/#/--ignore=}" || ended=$?
for each in "${beside[@]}"; do
    wait "$each" || ended=$?
done
cat "$said"/*
exit "$ended"

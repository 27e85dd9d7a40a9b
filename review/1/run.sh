#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
case_folder=review/1
program=target/review/case_1
[[ -x $program ]] || exit 2
read -ra run < <(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
timeout --kill-after=2 118 "$program" "$case_folder" "${run[@]}"
status=$?
[[ $status == 0 || $status == 1 ]] || status=2
exit "$status"

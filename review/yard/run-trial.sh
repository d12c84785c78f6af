#!/bin/sh
# Runs the program of one case: run-trial.sh N. Exits with 1 if the rule was broken, 0 if it held and
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
number="$1"
here="$(cd "$(dirname "$0")/.." && pwd)"
root="$(dirname "$here")"
record="$here/$number/record.txt"
trial="$root/target/review-2/trial-$number"
if [ ! -x "$root/target/saddleslip" ] || [ ! -x "$trial" ]; then
  echo "could not run: build the deploy file's target and review/build-2.sh first" > "$record"
  exit 2
fi
folder="$(mktemp -d)" || exit 2
timeout -k 1 118 "$trial" "$root/target/saddleslip" "$folder" "$record"
status=$?
rm -rf "$folder"
case $status in
  0|1) exit $status ;;
  *) exit 2 ;;
esac

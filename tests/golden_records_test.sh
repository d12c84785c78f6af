#!/usr/bin/env bash
# golden_records_test.sh TOOL DIR: this version reads in the records that production wrote (DIR) what production
# reads in them. bench/versions/check.sh makes both files, and checks the other direction too.
set -euo pipefail
"$1" read <"$2/production_records.txt" | diff "$2/production_facts.txt" -

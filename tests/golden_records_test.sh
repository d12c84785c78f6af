#!/usr/bin/env bash
# golden_records_test.sh TOOL DIR: compares this version with what earlier versions wrote (DIR).
#  - production_*: it reads in the records that production wrote what production reads in them.
#    bench/versions/check.sh makes both files, and checks the other direction too.
#  - a7cc6ab_*: it reads the same in the records of commit a7cc6ab, and writes every record and message byte
#    for byte as that commit did, both from the same data and after parsing them.
set -euo pipefail
tool=$1
dir=$2
status=0

# compare WHAT EXPECTED MODE [INPUT]: the tool's output in that mode against a file.
compare() {
  if ! "$tool" "$3" <"${4:-/dev/null}" | diff "$dir/$2" -; then
    echo "failed: $1"
    status=1
  fi
}

compare "reads the records of production" production_facts.txt read "$dir/production_records.txt"
compare "reads the records of a7cc6ab" a7cc6ab_facts.txt read "$dir/a7cc6ab_records.txt"
compare "writes the records of a7cc6ab" a7cc6ab_records.txt write
compare "writes all records and messages of a7cc6ab" a7cc6ab_all_records.txt write-all
compare "parses and encodes again the records of a7cc6ab" a7cc6ab_all_records.txt rewrite "$dir/a7cc6ab_all_records.txt"
exit $status

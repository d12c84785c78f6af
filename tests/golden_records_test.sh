#!/usr/bin/env bash
# golden_records_test.sh TOOL DIR: checks with records_tool (TOOL) that this version is compatible with the
# records that earlier versions wrote (DIR).
#  - production_*: this version parses the same facts from the production version's records as the production
#    version does. bench/versions/check.sh creates both files, and also checks the opposite direction.
#  - a7cc6ab_*: this version parses the same facts from the records of commit a7cc6ab, and encodes all records
#    and messages byte for byte as that commit did, both from the original data and after parsing them.
set -euo pipefail
tool=$1
dir=$2
status=0

# compare DESCRIPTION EXPECTED MODE [INPUT]: compares the output of the tool in that mode with a golden file.
compare() {
  if ! "$tool" "$3" <"${4:-/dev/null}" | diff "$dir/$2" -; then
    echo "failed: $1"
    status=1
  fi
}

compare "reads the records of the production version" production_facts.txt read "$dir/production_records.txt"
compare "reads the records of a7cc6ab" a7cc6ab_facts.txt read "$dir/a7cc6ab_records.txt"
compare "writes the records of a7cc6ab" a7cc6ab_records.txt write
compare "writes all records and messages of a7cc6ab" a7cc6ab_all_records.txt write-all
compare "parses and re-encodes the records of a7cc6ab" a7cc6ab_all_records.txt rewrite "$dir/a7cc6ab_all_records.txt"
exit $status

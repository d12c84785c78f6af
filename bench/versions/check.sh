#!/usr/bin/env bash
# check.sh [--update]: checks that this version and the production version can read each other's records.
#
# Builds records_tool for both: this version from the checkout, the production version (named in
# deploy/service.toml) from the git history. For each pair of reader and writer, it compares the facts that the
# reader parses from the writer's records with those that the production version parses from its own records.
#
# With --update, it also writes the records of the production version, and the facts that the
# production version parses from them, to tests/golden/ for golden_records_test.sh, which does not need the git history.
set -euo pipefail
cd "$(dirname "$0")/../.."
production=$(sed -n 's/^production = "\(.*\)"/\1/p' deploy/service.toml)
work=$(mktemp -d)
trap 'git worktree remove --force "$work/production" 2>/dev/null || true; rm -rf "$work"' EXIT
git worktree add --quiet --detach "$work/production" "$production"

# The last commit with the same identifiers as the production version: its records_tool.cpp still compiles
# against the production version.
production_tool_commit=a7cc6ab
git show "$production_tool_commit:bench/versions/records_tool.cpp" >"$work/production_tool.cpp"

# build SOURCES NAME TOOL FLAGS...: builds the library in the folder SOURCES, and links TOOL (a .cpp file) to it
# as the program $work/NAME.
build() {
  local sources=$1 name=$2 tool=$3
  shift 3
  cmake -S "$sources" -B "$work/build-$name" -DCMAKE_BUILD_TYPE=Release -DSADDLESLIP_TESTS=OFF >/dev/null
  cmake --build "$work/build-$name" -j"$(nproc)" --target saddleslip_core >/dev/null
  # shellcheck disable=SC2046
  g++ -std=c++20 -O1 "$@" -I"$sources/src" "$tool" -o "$work/$name" \
    "$work/build-$name/libsaddleslip_core.a" $(pkg-config --cflags --libs cpp-httplib spdlog yaml-cpp) -lpthread
}
build "$work/production" old "$work/production_tool.cpp" -DSADDLESLIP_BEFORE_PIPELINES
build . new bench/versions/records_tool.cpp

"$work/old" write >"$work/old.records"
"$work/new" write >"$work/new.records"
"$work/old" read <"$work/old.records" >"$work/old.facts"
status=0
for pair in "new old" "old new" "new new"; do
  read -r reader writer <<<"$pair"
  "$work/$reader" read <"$work/$writer.records" >"$work/facts"
  if diff "$work/old.facts" "$work/facts"; then
    echo "ok: the $reader version reads the records of the $writer version"
  else
    echo "failed: the $reader version reads other facts from the records of the $writer version"
    status=1
  fi
done
if [ "${1:-}" = "--update" ]; then
  mkdir -p tests/golden
  cp "$work/old.records" tests/golden/production_records.txt
  cp "$work/old.facts" tests/golden/production_facts.txt
fi
exit $status

#!/usr/bin/env bash
# Builds the version that deploy/service.toml names as production from history, and this one, and checks that
# each reads what the other writes, fact by fact. With --update, writes production's records and what it reads
# in them to tests/golden/, where a test without history reads them.
set -euo pipefail
cd "$(dirname "$0")/../.."
production=$(sed -n 's/^production = "\(.*\)"/\1/p' deploy/service.toml)
work=$(mktemp -d)
trap 'git worktree remove --force "$work/production" 2>/dev/null || true; rm -rf "$work"' EXIT
git worktree add --quiet --detach "$work/production" "$production"

# The last commit whose identifiers are those of production: its tool is the one that compiles against it.
production_tool_commit=a7cc6ab
git show "$production_tool_commit:bench/versions/records_tool.cpp" >"$work/production_tool.cpp"

# build SOURCES NAME TOOL FLAGS...: the library of that version, and the tool with it.
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
    echo "ok: $reader reads what $writer writes"
  else
    echo "failed: $reader reads otherwise what $writer writes"
    status=1
  fi
done
if [ "${1:-}" = "--update" ]; then
  mkdir -p tests/golden
  cp "$work/old.records" tests/golden/production_records.txt
  cp "$work/old.facts" tests/golden/production_facts.txt
fi
exit $status

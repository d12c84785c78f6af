#!/bin/sh
# Builds the programs of the cases of the second review (review/N/trial.cpp) and the project's
# stand-ins that they use (tests/loopback) into target/review-2. Run it after the build of the deploy
# file. It needs the packages of the deploy file only.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Itests -Ireview $(pkg-config --cflags cpp-httplib) -pthread"
libraries="$(pkg-config --libs cpp-httplib) -pthread"
objects=""
for name in controller_processes http_message peer_links state_service_stand_in; do
  g++ $flags -c "tests/loopback/$name.cpp" -o "$out/$name.o" &
  objects="$objects $out/$name.o"
done
wait
for source in review/[4-8]/trial.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ $flags "$source" $objects $libraries -o "$out/trial-$number"
done

#!/bin/bash
# Builds the stand-ins and the cases into target/review. Needs the packages of the deploy file only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++20 -O1 -g -Itests $(pkg-config --cflags cpp-httplib)"
g++ $flags -c tests/loopback/state_service_stand_in.cpp -o target/review/state_service_stand_in.o
for case_file in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$case_file")")
  g++ $flags "$case_file" target/review/state_service_stand_in.o -o "target/review/case$number" \
    $(pkg-config --libs cpp-httplib) -pthread
done

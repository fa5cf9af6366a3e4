#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3/. Run it after the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
compile() { "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra "$@"; }
compile -c review/rig-3/rig.cpp -o "$out/rig.o"
for program in longpath leasedrill listdrill hopcrash; do
  compile "review/rig-3/$program.cpp" "$out/rig.o" -o "$out/$program" -lboost_json -lpthread
done

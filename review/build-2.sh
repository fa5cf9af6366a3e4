#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into review/rig-2/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p rig-2/build
compile=(g++ -std=c++20 -O1 -Wall -Wextra -Wpedantic -pthread -I rig-2)
"${compile[@]}" -c rig-2/rig.cpp -o rig-2/build/rig.o
for source in [6-9]/main.cpp 10/main.cpp; do
  [ -f "$source" ] || continue
  "${compile[@]}" "$source" rig-2/build/rig.o -lboost_json -o "rig-2/build/case-$(dirname "$source")"
done

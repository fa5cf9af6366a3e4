#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/out/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/out
for case in review/*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "review/out/case$number" \
    "$case" review/standins/standins.cpp
done

#!/usr/bin/env bash
# Builds the programs of the cases into review/bin. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I.)
g++ "${flags[@]}" -c review/support/harness.cpp -o review/bin/harness.o
for source in review/[0-9]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" review/bin/harness.o -o "review/bin/case-$number"
done

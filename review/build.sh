#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin/. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in stand_ins/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/$(basename "$source" .cpp)" "$source"
done

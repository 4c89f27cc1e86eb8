#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into review/stand_ins_2/bin/. The build of the
# deploy file comes first: it makes target/bin/knapweedchute-entryd.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p stand_ins_2/bin
for source in stand_ins_2/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "stand_ins_2/bin/$(basename "$source" .cpp)" "$source"
done

#!/bin/sh
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
"${CC:-gcc}" -std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE \
  -o target/review/fleet review/standin-2/*.c

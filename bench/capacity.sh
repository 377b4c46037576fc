#!/bin/bash
# Measures the slopes and prints the tables of docs/CAPACITY.md from them.
# With --write, replaces the tables on the page.
set -eu
cd "$(dirname "$0")/.."
page=docs/CAPACITY.md
tables=$(mktemp)
trap 'rm -f "$tables"' EXIT
"${BUILD:-build}/bench/slopes" | awk -f bench/capacity.awk >"$tables"
cat "$tables"
if [ "${1:-}" = --write ]; then
  awk -v tables="$tables" '
    /<!-- tables -->/ { print; while ((getline line < tables) > 0) print line; skip = 1 }
    /<!-- end of tables -->/ { skip = 0 }
    !skip && !/<!-- tables -->/ { print }' "$page" >"$tables.page"
  mv "$tables.page" "$page"
fi

#!/bin/sh
# Builds the stand-ins that the cases' scripts start, into review/build/.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../build
gcc -std=gnu11 -g -O2 -Wall -Wextra -Werror -o ../build/scene.new ./*.c \
  $(pkg-config --cflags --libs glib-2.0 libevent)
mv ../build/scene.new ../build/scene

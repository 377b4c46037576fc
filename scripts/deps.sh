#!/bin/sh
# Installs the Debian packages that the build and the tests need.
set -eu
packages="gcc make pkg-config git clang-format clang-tidy cppcheck valgrind spin \
 gnuplot-nox libevent-dev libzmq3-dev libjson-c-dev libglib2.0-dev liblog4c-dev \
 libmsgpack-dev libxxhash-dev check"
missing=
for p in $packages; do
  dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'install ok installed' \
    || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
sudo=
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq $missing >/dev/null

#!/bin/bash
# Guards against a build of the deploy file that needs a package which the file
# does not list: only the listed packages, and what these depend on, are visible
# to pkg-config, and the headers of ZeroMQ cannot be included.
set -u
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

listed=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '",')
line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)

# Prints PACKAGES and all that they depend on.
closure () # PACKAGES
{
  local seen=" " queue=$* package depends
  while [ -n "$queue" ]; do
    package=${queue%% *}
    queue=$(echo "${queue#"$package"}" | sed 's/^ *//')
    case $seen in *" $package "*) continue ;; esac
    seen="$seen$package "
    depends=$(dpkg-query -W -f '${Depends}, ${Pre-Depends}' "$package" 2>/dev/null \
      | sed 's/([^)]*)//g; s/:any//g; s/[,|]/ /g' | tr -s ' \n' ' ')
    queue="$queue $depends"
    queue=$(echo "$queue" | sed 's/^ *//; s/ *$//')
  done
  echo "$seen"
}

allowed=$(closure $listed)
mkdir "$work/pkgconfig" "$work/include"
echo '#error "libzmq3-dev is not listed in deploy/system.toml"' >"$work/include/zmq.h"
for package in $allowed; do
  dpkg -L "$package" 2>/dev/null | grep '/pkgconfig/.*\.pc$' \
    | xargs -r -I{} ln -sf {} "$work/pkgconfig/"
done

make_line=${line//BUILD=target/BUILD=$work/build}
make_line=${make_line//target\/bin/$work/build/bin}
if PKG_CONFIG_LIBDIR=$work/pkgconfig bash -c "$make_line CC='gcc -I$work/include'" \
  >"$work/log" 2>&1 && [ -x "$work/build/bin/bluebellstand" ]; then
  echo "deploy_build_test:1:P:the deploy build needs only its listed packages"
else
  tail -5 "$work/log"
  echo "deploy_build_test.sh:1:F:deploy:deploy_build:0: the build needs more than the listed packages"
  exit 1
fi

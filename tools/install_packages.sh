#!/usr/bin/env bash
# Installs the Debian packages that the build needs, if one is missing.
set -eu
packages="g++ cmake ninja-build ccache make git python3 clang-format clang-tidy
libboost1.81-dev libboost-fiber1.81-dev libboost-log1.81-dev
libboost-json1.81-dev libboost-url1.81-dev libjsonrpccpp-dev libjsoncpp-dev
libcxxopts-dev doctest-dev librapidcheck-dev libssl-dev libxxhash-dev"
missing=""
for package in $packages; do
    status=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
    [ "$status" = "install ok installed" ] || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends $missing >/dev/null

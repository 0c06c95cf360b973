#!/usr/bin/env bash
# Installs the Debian packages that the build needs.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends \
    g++ cmake ninja-build ccache curl clang-format clang-tidy \
    qt6-base-dev libgl-dev libnghttp2-dev prometheus-cpp-dev libboost-dev \
    libboost-program-options-dev libboost-test-dev libfmt-dev libabsl-dev \
    libxxhash-dev libmsgpack-cxx-dev nlohmann-json3-dev libssl-dev wrk > /dev/null

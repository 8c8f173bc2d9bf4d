#!/usr/bin/env bash
# Installs all Debian packages that the build, tests and benchmarks need. Catch2
# is in the package "catch2"; there is no -dev package. The CMake files of the Qt
# HTTP server need qt6-websockets-dev.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y qt6-base-dev qt6-httpserver-dev qt6-websockets-dev libflatbuffers-dev flatbuffers-compiler-dev prometheus-cpp-dev libgflags-dev libeasyloggingpp-dev libboost-dev librapidcheck-dev libbenchmark-dev libxxhash-dev catch2 cmake g++ clang-format clang-tidy

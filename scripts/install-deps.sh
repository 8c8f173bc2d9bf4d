#!/usr/bin/env bash
# Installs every Debian package the build, tests and benches need.
# Catch2's Debian package is named "catch2" (it has no -dev twin); Qt's HTTP
# server needs qt6-websockets-dev for its CMake files.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y qt6-base-dev qt6-httpserver-dev qt6-websockets-dev libflatbuffers-dev flatbuffers-compiler-dev prometheus-cpp-dev libgflags-dev libeasyloggingpp-dev libboost-dev librapidcheck-dev libbenchmark-dev libxxhash-dev catch2 cmake g++ clang-format clang-tidy

#!/usr/bin/env bash
# Runs a fleet of entry instances, one process each, with stand-ins for the
# upstreams and the store in the process of the load tool. Injects kills, a pause,
# a planned stop, and a store that is silent or loses answers. The number of
# requests and the duration are limited; all traffic uses the loopback interface.
# Usage: scripts/fleet.sh [instances] [turmericctl load flags...]
set -euo pipefail
cd "$(dirname "$0")/.."
count="${1:-7}"
shift || true
platform_port=7000
base_port=7101
dir=$(mktemp -d)
pids=()
cleanup() {
  kill -CONT "${pids[@]}" 2>/dev/null || true
  kill -KILL "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT
targets=()
zones=(cairo-a cairo-b cairo-c)
for ((i = 0; i < count; ++i)); do
  port=$((base_port + i))
  cat >"$dir/entry-$i.ini" <<EOF
[instance]
name = entry-$i
zone = ${zones[$((i % 3))]}
listen_address = 127.0.0.1
listen_port = $port
store = 127.0.0.1:$platform_port
membership_port = $((port + 400))
log_level = warning
EOF
  build/tools/turmericgated/turmericgated --config="$dir/entry-$i.ini" \
    >"$dir/entry-$i.log" 2>&1 &
  pids+=($!)
  targets+=("127.0.0.1:$port")
done
rc=0
timeout 120 build/tools/turmericctl/turmericctl load --scenario=fleet \
  --platform_port="$platform_port" \
  --targets="$(IFS=,; echo "${targets[*]}")" \
  --pids="$(IFS=,; echo "${pids[*]}")" "$@" || rc=$?
for ((i = 0; i < count; ++i)); do
  if kill -0 "${pids[$i]}" 2>/dev/null; then
    awk -v i="$i" '/VmHWM|Threads/ { printf "  entry-%s %s %s %s\n", i, $1, $2, $3 }' \
      "/proc/${pids[$i]}/status"
  fi
done
grep -h "invariant" "$dir"/*.log || true
exit "$rc"

#!/bin/sh
# Keeps the server's loaded classes in target/ochretiller.jsa, which saves two fifths of the CPU of a start. For that the
# server is started once, linked to itself, and told to leave. Without the file a start is slower and nothing else.
set -eu
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cat > "$work/config.json" <<'JSON'
{"name":"archive","listen":"127.77.0.1:41007","processor":"127.77.0.1:41007","records":"127.77.0.1:41007",
 "roster":"127.77.0.1:41008","seed":"1","stop_ms":600,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "settings":{"classes":[{"name":"read","effect":"pure","aimNs":1000000000,"giveUpNs":2000000000}],
 "familyInfo":{"cpus":1,"memoryKb":1000,"meters":["core_use"],"idleNs":1000000000},
 "guarantees":{"stopSendingWithinNs":100000000}}}
JSON
rm -f target/ochretiller.jsa
# The flags are those of a server: an archive serves only a JVM like the one that made it.
EDGE_CONFIG="$work/config.json" sh deploy/serve.sh -XX:SharedArchiveFile= -XX:ArchiveClassesAtExit=target/ochretiller.jsa \
    > "$work/log" 2>&1 &
server=$!
for _ in 1 2 3 4 5 6 7 8 9 10; do
    sleep 0.5
    if grep -q BAD_INPUT "$work/log" || ! kill -0 "$server" 2> /dev/null; then break; fi
done
kill "$server" 2> /dev/null || true
wait "$server" || true
test -f target/ochretiller.jsa || echo "no archive of classes: starts will be slower" >&2

#!/bin/sh
# Writes the server's loaded classes to the JVM archive target/ochretiller.jsa, which saves most of the CPU time of a start
# and of the first requests. To load the classes, a server serves a few requests against fake services and is stopped.
# A server without the archive only starts more slowly.
set -eu
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cat > "$work/config.json" <<'JSON'
{"name":"archive","listen":"127.77.0.1:41007","processor":"127.77.0.1:41008","records":"127.77.0.1:41009",
 "roster":"127.77.0.1:41010","seed":"1","stop_ms":600,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "settings":{"classes":[{"name":"read","effect":"pure","aimNs":1000000000,"giveUpNs":2000000000},
 {"name":"order","effect":"token","aimNs":1000000000,"giveUpNs":2000000000,"windowNs":9000000000}],
 "familyInfo":{"cpus":1,"memoryKb":100000,"keyKb":1,"callsOut":4,"callsByClass":[true,true],"degradedWorth":[0,0],
 "meters":["core_use","on_cores","heap_share","links"],"idleNs":1000000000,"halt":"abort","advert":"window"},
 "permissions":{"retryAfter":true,"maxRetryAfterNs":1000000000},"guarantees":{"stopSendingWithinNs":100000000}}}
JSON
rm -f target/ochretiller.jsa
# Uses the server's own flags: an archive is valid only for a JVM with the same ones.
EDGE_CONFIG="$work/config.json" sh deploy/serve.sh -XX:SharedArchiveFile= -XX:ArchiveClassesAtExit=target/ochretiller.jsa \
    > "$work/log" 2>&1 &
server=$!
java -XX:TieredStopAtLevel=1 -cp target/ochretiller.jar ochretiller.fakes.ClassArchiveRun 41008 41009 41007 || cat "$work/log" >&2
kill "$server" 2> /dev/null || true
wait "$server" || true
test -f target/ochretiller.jsa || echo "no archive of classes: starts will be slower" >&2

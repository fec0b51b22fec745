#!/bin/sh
# Starts the server on a JVM that fits into limits.memory_mb of the configuration. The heap has its full size from the
# start, so that any later growth of the process's memory is a leak.
set -eu
trap : HUP # a reload request before the JVM starts needs no action: the configuration has not been read yet
# Reads memory_mb with shell built-ins only: where no process can be started, a pipeline would silently yield a wrong size.
# The value is passed to the server, which compares it with the one in the configuration.
mb=0
if [ -r "${EDGE_CONFIG:-}" ]; then
    while IFS= read -r line || [ -n "$line" ]; do
        case $line in
            *'"memory_mb"'*)
                rest=${line#*'"memory_mb"'}
                rest=${rest#*:}
                rest=${rest#"${rest%%[![:space:]]*}"}
                mb=${rest%%[!0-9]*}
                break ;;
        esac
    done < "$EDGE_CONFIG"
fi
mb=${mb:-0}
# Restores SIGHUP, without which the server could not reload its configuration: nohup and similar tools start it with the
# signal ignored, the JVM installs no handler for a signal ignored at its start, and a shell cannot reset it.
clean=
if [ -r "/proc/$$/status" ]; then
    while read -r name mask; do
        case $name$mask in SigIgn:*[13579bdf]) clean='env --default-signal=HUP' ;; esac
    done < "/proc/$$/status"
fi
heap=$((mb < 52 ? 10 : (mb - 32) / 2))
exec $clean java -Xms${heap}m -Xmx${heap}m -Xmn$((heap / 3))m -XX:+AlwaysPreTouch -Xss256k -XX:+UseSerialGC \
    -XX:MaxDirectMemorySize=$((mb < 12 ? 1 : mb / 12))m -XX:ReservedCodeCacheSize=16m -XX:MaxMetaspaceSize=32m \
    -XX:TieredStopAtLevel=1 -XX:-UsePerfData -XX:SharedArchiveFile=target/ochretiller.jsa -Xlog:cds=off \
    -Xlog:cds+dynamic=off -Dochretiller.sizedForMb="$mb" "$@" -jar target/ochretiller.jar serve \
    ${OPERATOR_FILE:+--operator "$OPERATOR_FILE"}

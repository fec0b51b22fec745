#!/bin/sh
# Starts the server on a JVM that fits limits.memory_mb of the configuration. The heap has its full size from the start,
# so that memory which grows is a leak and not a heap that was not needed before.
set -eu
trap : HUP # what it asks for is done: the configuration is still to be read
# The shell reads it by itself: a pipeline sizes the JVM wrongly, without a word, where no process can be started for it.
# What it found goes along, and the server holds it against what it reads.
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
# Guards against a server that never takes a new configuration: nohup and its like start it with SIGHUP ignored, the JVM takes no
# handler for a signal that was ignored at its start, and a shell may not undo that.
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

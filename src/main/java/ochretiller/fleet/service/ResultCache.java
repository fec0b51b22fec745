package ochretiller.fleet.service;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import ochretiller.fleet.replication.ClaimId;

/**
 * Long results that this server keeps: on the disk, with those that were asked for last in memory,
 * or in memory alone.
 */
final class ResultCache {
    /** Characters of results read lately: a repeat fetches one piece by piece. */
    private static final long MAX_CACHED_BYTES = 2L << 20;

    /** Null where all is kept in memory. */
    private final ReplicaStorage disk;

    private final long maxBytes;
    private final Map<String, CachedResult> held = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;

    private record CachedResult(String result, Duration until) {}

    /**
     * @param most bytes that are kept in memory where there is no disk
     */
    ResultCache(ReplicaStorage disk, long most) {
        this.disk = disk;
        this.maxBytes = disk == null ? most : MAX_CACHED_BYTES;
    }

    private static String name(String token, ClaimId id) {
        return token + ' ' + id;
    }

    private void hold(String token, ClaimId id, String result, Duration until) {
        CachedResult old = held.put(name(token, id), new CachedResult(result, until));
        bytes += result.length() - (old == null ? 0 : old.result.length());
        for (Iterator<CachedResult> each = held.values().iterator();
                bytes > maxBytes && each.hasNext(); ) {
            bytes -= each.next().result.length();
            each.remove();
        }
    }

    /** Keeps it; told whether that will outlive what this server promises to outlive. */
    void put(
            String token,
            ClaimId id,
            String result,
            Duration until,
            Duration now,
            Consumer<Boolean> then) {
        if (disk == null) {
            held.values()
                    .removeIf(
                            each -> {
                                if (each.until.compareTo(now) > 0) {
                                    return false;
                                }
                                bytes -= each.result.length();
                                return true;
                            });
            // In memory nothing that is kept makes way for what comes.
            if (bytes + result.length() > maxBytes) {
                then.accept(false);
                return;
            }
            hold(token, id, result, until);
            then.accept(true);
            return;
        }
        disk.storeResult(
                token,
                id,
                result.getBytes(StandardCharsets.ISO_8859_1),
                until,
                now,
                durable -> {
                    if (durable) {
                        hold(token, id, result, until);
                    }
                    then.accept(durable);
                });
    }

    /** The result, or null where it is not kept here. */
    void get(String token, ClaimId id, Consumer<String> then) {
        CachedResult known = held.get(name(token, id));
        if (known != null || disk == null) {
            then.accept(known == null ? null : known.result);
            return;
        }
        disk.readResult(
                token,
                id,
                read -> {
                    String result =
                            read == null ? null : new String(read, StandardCharsets.ISO_8859_1);
                    if (result != null) {
                        hold(token, id, result, Duration.ZERO);
                    }
                    then.accept(result);
                });
    }
}

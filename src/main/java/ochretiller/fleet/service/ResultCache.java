package ochretiller.fleet.service;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import ochretiller.fleet.replication.ClaimId;

/**
 * The long results that this server's replica keeps. With a storage they are on the disk and the
 * ones used last are cached in memory; without one they are in memory alone, and none that is kept
 * makes way for a new one. On the event loop.
 */
final class ResultCache {
    /** Cached characters beside a storage: a repeat fetches a result chunk by chunk. */
    private static final long MAX_CACHED_BYTES = 2L << 20;

    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final Optional<ReplicaStorage> storage;
    private final long maxBytes;

    /** By last access, the one that was used longest ago first. */
    private final Map<String, CachedResult> cached =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

    private long cachedBytes;

    private record CachedResult(String result, Duration expiresAt) {}

    /**
     * Creates an empty cache.
     *
     * @param maxBytesInMemory limit if there is no storage
     */
    ResultCache(Optional<ReplicaStorage> storage, long maxBytesInMemory) {
        this.storage = storage;
        this.maxBytes = storage.isEmpty() ? maxBytesInMemory : MAX_CACHED_BYTES;
    }

    /**
     * Stores a result.
     *
     * @param completion is called with whether the result is stored, on the disk if there is one
     */
    void put(
            String token,
            ClaimId claimId,
            String result,
            Duration expiresAt,
            Duration now,
            Consumer<Boolean> completion) {
        if (storage.isEmpty()) {
            completion.accept(putInMemory(token, claimId, result, expiresAt, now));
            return;
        }
        storage.get()
                .storeResult(
                        token,
                        claimId,
                        result.getBytes(StandardCharsets.ISO_8859_1),
                        expiresAt,
                        now,
                        isDurable -> {
                            if (isDurable) {
                                cache(token, claimId, result, expiresAt);
                            }
                            completion.accept(isDurable);
                        });
    }

    private boolean putInMemory(
            String token, ClaimId claimId, String result, Duration expiresAt, Duration now) {
        removeExpired(now);
        if (cachedBytes + result.length() > maxBytes) {
            return false;
        }
        cache(token, claimId, result, expiresAt);
        return true;
    }

    private void removeExpired(Duration now) {
        Iterator<CachedResult> results = cached.values().iterator();
        while (results.hasNext()) {
            CachedResult each = results.next();
            if (each.expiresAt().compareTo(now) <= 0) {
                cachedBytes -= each.result().length();
                results.remove();
            }
        }
    }

    private void cache(String token, ClaimId claimId, String result, Duration expiresAt) {
        CachedResult replaced =
                cached.put(keyOf(token, claimId), new CachedResult(result, expiresAt));
        int replacedBytes = replaced == null ? 0 : replaced.result().length();
        cachedBytes += result.length() - replacedBytes;
        Iterator<CachedResult> results = cached.values().iterator();
        while (cachedBytes > maxBytes && results.hasNext()) {
            cachedBytes -= results.next().result().length();
            results.remove();
        }
    }

    private static String keyOf(String token, ClaimId claimId) {
        return token + ' ' + claimId;
    }

    /**
     * Looks a result up.
     *
     * @param completion is called with the result, or nothing if it is not here
     */
    void get(String token, ClaimId claimId, Consumer<Optional<String>> completion) {
        CachedResult known = cached.get(keyOf(token, claimId));
        if (known != null || storage.isEmpty()) {
            completion.accept(Optional.ofNullable(known).map(CachedResult::result));
            return;
        }
        storage.get()
                .readResult(
                        token,
                        claimId,
                        bytes -> {
                            Optional<String> result = bytes.map(ClaimOutcomes::textOf);
                            result.ifPresent(text -> cache(token, claimId, text, Duration.ZERO));
                            completion.accept(result);
                        });
    }
}

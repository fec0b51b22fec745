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
 * Stores the chunked results of this server's replica, each as a whole. With a storage, results are
 * on disk and the most recently used ones are cached in memory. Without one, they are in memory
 * only, and a new result is rejected rather than evicting an unexpired one. Confined to the event
 * loop.
 */
final class ResultCache {
    /** Cache limit if there is a storage; without a cache, each chunk would read a whole result. */
    private static final long MAX_CACHED_BYTES = 2L << 20;

    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final Optional<ReplicaStorage> storage;
    private final long maxBytes;

    /** In order of access, least recently used first. */
    private final Map<String, CachedResult> cachedResults =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

    private long cachedBytes;

    private record CachedResult(String result, Duration expiresAt) {}

    /**
     * Creates an empty cache.
     *
     * @param maxBytesInMemory limit in bytes if there is no storage
     */
    ResultCache(Optional<ReplicaStorage> storage, long maxBytesInMemory) {
        this.storage = storage;
        this.maxBytes = storage.isEmpty() ? maxBytesInMemory : MAX_CACHED_BYTES;
    }

    /**
     * Stores a result.
     *
     * @param completion called with whether the result is stored, durably if there is a storage
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
        Iterator<CachedResult> results = cachedResults.values().iterator();
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
                cachedResults.put(keyOf(token, claimId), new CachedResult(result, expiresAt));
        int replacedBytes = replaced == null ? 0 : replaced.result().length();
        cachedBytes += result.length() - replacedBytes;
        Iterator<CachedResult> results = cachedResults.values().iterator();
        while (cachedBytes > maxBytes && results.hasNext()) {
            cachedBytes -= results.next().result().length();
            results.remove();
        }
    }

    private static String keyOf(String token, ClaimId claimId) {
        return token + ' ' + claimId;
    }

    /**
     * Looks up a result.
     *
     * @param completion called with the result, or empty if it is not stored here
     */
    void get(String token, ClaimId claimId, Consumer<Optional<String>> completion) {
        CachedResult known = cachedResults.get(keyOf(token, claimId));
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

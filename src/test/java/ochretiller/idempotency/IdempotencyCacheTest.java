package ochretiller.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.SideEffect;
import org.junit.jupiter.api.Test;

class IdempotencyCacheTest {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Operation ORDER = operation("order", SideEffect.KEYED);
    private static final Operation READ = operation("read", SideEffect.IDEMPOTENT);
    private static final byte[] BODY = {1};
    private static final byte[] OTHER_BODY = {2};
    private static final String PENDING = "pending";
    private static final String NO_RESULT = "none";

    private final IdempotencyCache cache = new IdempotencyCache(10_000, SECOND);

    private static Operation operation(String name, SideEffect effect) {
        return new Operation(
                name,
                effect,
                SECOND,
                SECOND.multipliedBy(2),
                1,
                0,
                SECOND.multipliedBy(10),
                false,
                0);
    }

    private static InvocationId id(long value) {
        return new InvocationId(value);
    }

    private static Duration at(double seconds) {
        return Duration.ofMillis((long) (seconds * 1000));
    }

    private static Attempt order(
            long id, String token, double arrivedSeconds, long sentUnixMillis) {
        return new Attempt(
                id(id),
                ORDER,
                Optional.of(token),
                Optional.empty(),
                at(arrivedSeconds),
                sentUnixMillis);
    }

    private static Attempt order(long id, double arrivedSeconds) {
        return order(id, "token", arrivedSeconds, IdempotencyCache.NO_CLIENT_TIMESTAMP);
    }

    private Optional<InvocationId> findOriginal(long id, double arrivedSeconds, double nowSeconds) {
        return cache.findOriginalOrTrack(order(id, arrivedSeconds), at(nowSeconds));
    }

    private Optional<InvocationId> read(long id, double nowSeconds) {
        Attempt attempt =
                new Attempt(
                        id(id),
                        READ,
                        Optional.empty(),
                        Optional.of("object"),
                        at(nowSeconds),
                        IdempotencyCache.NO_CLIENT_TIMESTAMP);
        return cache.findOriginalOrTrack(attempt, at(nowSeconds));
    }

    private void track(long id) {
        cache.track(order(id, 0), BODY, at(10));
    }

    private void restore(long id, boolean isCompleted) {
        byte[] digest = IdempotencyCache.bodyDigest(BODY);
        cache.restore(new RestoredAttempt(id(id), ORDER, "token", digest, isCompleted), at(10));
    }

    private void succeed(long id, String result, double nowSeconds) {
        cache.complete(id(id), Optional.of(result.getBytes()), at(nowSeconds));
    }

    private String result(long id) {
        List<String> results = new ArrayList<>();
        cache.whenCompleted(
                Optional.of(id(id)),
                result -> results.add(result.map(String::new).orElse(NO_RESULT)));
        return results.isEmpty() ? PENDING : results.get(0);
    }

    @Test
    void repeatFindsItsOriginal() {
        assertThat(findOriginal(1, 0, 0)).isEmpty();
        track(1);
        assertThat(findOriginal(2, 0, 0)).contains(id(1));
    }

    @Test
    void windowAppliesToTheArrivalTimeHoweverLateTheRepeatIsRead() {
        track(1);
        succeed(1, "done", 1);
        assertThat(findOriginal(2, 9.9, 11.5)).contains(id(1));
        assertThat(findOriginal(3, 10.1, 10.1)).isEmpty();
    }

    @Test
    void repeatAtTheEndOfTheWindowFindsItsOriginalDespiteCoarseClocks() {
        track(1);
        succeed(1, "done", 1);
        assertThat(findOriginal(2, 10.099, 10.1))
                .contains(id(1)); // arrived at 9.99 s by the clock that timestamped it
    }

    @Test
    void repeatWithinTheWindowByTheUnixClockFindsItsOriginalAfterTheClockWasSetBack() {
        long sent = 1_764_576_000_000L;
        cache.track(order(1, "token", 0, sent), BODY, at(10));
        succeed(1, "done", 1);
        // After 11 s the client's clock shows only 6 s more, because it was set back by 5 s.
        assertThat(cache.findOriginalOrTrack(order(2, "token", 11, sent + 6_000), at(11)))
                .contains(id(1));
        assertThat(cache.findOriginalOrTrack(order(3, "token", 11, sent + 10_100), at(11)))
                .isEmpty();
    }

    @Test
    void differentBodyOrOperationUnderTheSameTokenConflicts() {
        track(1);
        assertThat(cache.conflictsWith(id(1), ORDER, new byte[] {1})).isFalse();
        assertThat(cache.conflictsWith(id(1), ORDER, OTHER_BODY)).isTrue();
        assertThat(cache.conflictsWith(id(1), operation("other", SideEffect.KEYED), BODY)).isTrue();
        assertThat(cache.conflictsWith(id(2), ORDER, BODY)).isFalse();
    }

    @Test
    void entryIsRemovedAfterItsWindow() {
        track(1);
        succeed(1, "done", 1);
        assertThat(findOriginal(2, 9.9, 12.1)).isEmpty();
        assertThat(result(1)).isEqualTo(NO_RESULT);
    }

    @Test
    void repeatOfARemovedEntryHasNoOriginal() {
        track(1);
        cache.discard(id(1));
        assertThat(findOriginal(2, 0, 0)).isEmpty();
    }

    @Test
    void resultIsPassedToWaitersAndStored() {
        track(1);
        List<Optional<byte[]>> results = new ArrayList<>();
        cache.whenCompleted(Optional.of(id(1)), results::add);
        assertThat(results).isEmpty();
        succeed(1, "done", 1);
        assertThat(results).hasSize(1);
        assertThat(result(1)).isEqualTo("done");
    }

    @Test
    void entryRemainsWhenItsResultExceedsTheSizeLimit() {
        track(1);
        succeed(1, "x".repeat(20_000), 1);
        assertThat(findOriginal(2, 2, 2)).contains(id(1));
        assertThat(result(1)).isEqualTo(NO_RESULT);
    }

    @Test
    void removedResultsReleaseTheirBytes() {
        for (int i = 0; i < 5; i++) {
            Attempt original = order(i, "token" + i, 0, IdempotencyCache.NO_CLIENT_TIMESTAMP);
            cache.track(original, BODY, at(10 + 20 * i));
            succeed(i, "x".repeat(9_000), 20 * i);
            assertThat(result(i)).hasSize(9_000);
            Attempt later = order(100 + i, "other", 20 * i, IdempotencyCache.NO_CLIENT_TIMESTAMP);
            cache.findOriginalOrTrack(later, at(19 + 20 * i));
        }
    }

    @Test
    void readFindsAnOriginalThatIsRunningOrFresh() {
        assertThat(read(1, 0)).isEmpty();
        assertThat(read(2, 0)).contains(id(1));
        succeed(1, "seen", 1);
        assertThat(read(3, 1.9)).contains(id(1));
        assertThat(result(1)).isEqualTo("seen");
        assertThat(read(4, 2)).isEmpty();
    }

    @Test
    void readAfterAFailedReadHasNoOriginal() {
        read(1, 0);
        cache.complete(id(1), Optional.empty(), at(1));
        assertThat(read(2, 1)).isEmpty();
    }

    @Test
    void restoredAttemptIsComparedByItsBodyDigest() {
        restore(-1, true);
        assertThat(findOriginal(1, 5, 5)).contains(id(-1));
        assertThat(cache.conflictsWith(id(-1), ORDER, BODY)).isFalse();
        assertThat(cache.conflictsWith(id(-1), ORDER, OTHER_BODY)).isTrue();
        assertThat(cache.conflictsWith(id(-1), operation("other", SideEffect.KEYED), BODY))
                .isTrue();
        assertThat(result(-1)).isEqualTo(NO_RESULT); // the cache does not hold its result
        assertThat(findOriginal(2, 9.999, 9.999)).contains(id(-1));
        assertThat(findOriginal(3, 10, 10)).isEmpty();
    }

    @Test
    void restoredAttemptPassesOnAResultThatArrivesLater() {
        restore(-1, false);
        assertThat(result(-1)).isEqualTo(PENDING);
        succeed(-1, "done", 1);
        assertThat(result(-1)).isEqualTo("done");
    }
}

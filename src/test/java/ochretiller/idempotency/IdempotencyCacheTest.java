package ochretiller.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.SideEffect;
import org.junit.jupiter.api.Test;

class IdempotencyCacheTest {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Operation ORDER = operation("order", SideEffect.KEYED);
    private static final Operation READ = operation("read", SideEffect.IDEMPOTENT);
    private static final byte[] BODY = {1};
    private final IdempotencyCache keys = new IdempotencyCache(10_000, SECOND);

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

    private InvocationId order(long id, double arrived, double now) {
        return keys.findOriginalOrTrack(
                id(id),
                ORDER,
                "token",
                null,
                at(arrived),
                IdempotencyCache.NO_CLIENT_TIMESTAMP,
                at(now));
    }

    private InvocationId read(long id, double now) {
        return keys.findOriginalOrTrack(
                id(id),
                READ,
                null,
                "object",
                at(now),
                IdempotencyCache.NO_CLIENT_TIMESTAMP,
                at(now));
    }

    private String result(long id) {
        List<String> results = new ArrayList<>();
        keys.whenCompleted(
                id(id), result -> results.add(result == null ? "none" : new String(result)));
        return results.isEmpty() ? "waits" : results.get(0);
    }

    private void ended(long id, String result, double now) {
        keys.complete(id(id), true, result == null ? null : result.getBytes(), at(now));
    }

    @Test
    void tryIsTiedToTheKeptOne() {
        assertThat(order(1, 0, 0)).isNull();
        keys.track(id(1), ORDER, "token", BODY, IdempotencyCache.NO_CLIENT_TIMESTAMP, at(10));
        assertThat(order(2, 0, 0)).isEqualTo(id(1));
    }

    @Test
    void windowCountsByArrivalHoweverLateItIsRead() {
        keys.track(id(1), ORDER, "token", BODY, IdempotencyCache.NO_CLIENT_TIMESTAMP, at(10));
        ended(1, "done", 1);
        assertThat(order(2, 9.9, 11.5)).isEqualTo(id(1));
        assertThat(order(3, 10.1, 10.1)).isNull();
    }

    @Test
    void repeatAtTheEdgeIsTiedHoweverTheGatheringsFellInWhichBothWereRead() {
        keys.track(id(1), ORDER, "token", BODY, IdempotencyCache.NO_CLIENT_TIMESTAMP, at(10));
        ended(1, "done", 1);
        assertThat(order(2, 10.099, 10.1))
                .isEqualTo(id(1)); // it came at 9.99 by the clock of who dated it
    }

    @Test
    void repeatWithinTheWindowByTheUnixClockIsTiedThoughThatWasSetBack() {
        long t0 = 1_764_576_000_000L;
        keys.track(id(1), ORDER, "token", BODY, t0, at(10));
        ended(1, "done", 1);
        // 11 s later the clock shows 6 s more, as it was set back by 5.
        assertThat(
                        keys.findOriginalOrTrack(
                                id(2), ORDER, "token", null, at(11), t0 + 6_000, at(11)))
                .isEqualTo(id(1));
        assertThat(
                        keys.findOriginalOrTrack(
                                id(3), ORDER, "token", null, at(11), t0 + 10_100, at(11)))
                .isNull();
    }

    @Test
    void otherBodyOrOperationUnderOneTokenDiffers() {
        keys.track(id(1), ORDER, "token", BODY, IdempotencyCache.NO_CLIENT_TIMESTAMP, at(10));
        assertThat(keys.conflictsWith(id(1), ORDER, new byte[] {1})).isFalse();
        assertThat(keys.conflictsWith(id(1), ORDER, new byte[] {2})).isTrue();
        assertThat(keys.conflictsWith(id(1), operation("other", SideEffect.KEYED), BODY)).isTrue();
        assertThat(keys.conflictsWith(id(2), ORDER, BODY)).isFalse();
    }

    @Test
    void entryIsForgottenBehindItsWindow() {
        keys.track(id(1), ORDER, "token", BODY, IdempotencyCache.NO_CLIENT_TIMESTAMP, at(10));
        ended(1, "done", 1);
        assertThat(order(2, 9.9, 12.1)).isNull();
        assertThat(result(1)).isEqualTo("none");
    }

    @Test
    void erasedEntryTiesNobody() {
        keys.track(id(1), ORDER, "token", BODY, IdempotencyCache.NO_CLIENT_TIMESTAMP, at(10));
        keys.forget(id(1));
        assertThat(order(2, 0, 0)).isNull();
    }

    @Test
    void resultIsWaitedForAndThenKept() {
        keys.track(id(1), ORDER, "token", BODY, IdempotencyCache.NO_CLIENT_TIMESTAMP, at(10));
        List<byte[]> results = new ArrayList<>();
        keys.whenCompleted(id(1), results::add);
        assertThat(results).isEmpty();
        ended(1, "done", 1);
        assertThat(results).hasSize(1);
        assertThat(result(1)).isEqualTo("done");
    }

    @Test
    void resultThatDoesNotFitLeavesTheMark() {
        keys.track(id(1), ORDER, "token", BODY, IdempotencyCache.NO_CLIENT_TIMESTAMP, at(10));
        ended(1, "x".repeat(20_000), 1);
        assertThat(order(2, 2, 2)).isEqualTo(id(1));
        assertThat(result(1)).isEqualTo("none");
    }

    @Test
    void bytesOfForgottenResultsAreFree() {
        for (int i = 0; i < 5; i++) {
            keys.track(
                    id(i),
                    ORDER,
                    "token" + i,
                    BODY,
                    IdempotencyCache.NO_CLIENT_TIMESTAMP,
                    at(10 + 20 * i));
            ended(i, "x".repeat(9_000), 20 * i);
            assertThat(result(i)).hasSize(9_000);
            keys.findOriginalOrTrack(
                    id(100 + i),
                    ORDER,
                    "other",
                    null,
                    at(20 * i),
                    IdempotencyCache.NO_CLIENT_TIMESTAMP,
                    at(19 + 20 * i));
        }
    }

    @Test
    void readIsTiedWhileAnotherIsNotOverOrFresh() {
        assertThat(read(1, 0)).isNull();
        assertThat(read(2, 0)).isEqualTo(id(1));
        keys.complete(id(1), false, "seen".getBytes(), at(1));
        assertThat(read(3, 1.9)).isEqualTo(id(1));
        assertThat(result(1)).isEqualTo("seen");
        assertThat(read(4, 2)).isNull();
    }

    @Test
    void failedReadTiesNobody() {
        read(1, 0);
        keys.complete(id(1), false, null, at(1));
        assertThat(read(2, 1)).isNull();
    }

    @Test
    void restoredTryIsKnownByTheHashOfItsBody() {
        keys.restore(id(-1), ORDER, "token", IdempotencyCache.bodyDigest(BODY), at(10), true);
        assertThat(order(1, 5, 5)).isEqualTo(id(-1));
        assertThat(keys.conflictsWith(id(-1), ORDER, BODY)).isFalse();
        assertThat(keys.conflictsWith(id(-1), ORDER, new byte[] {2})).isTrue();
        assertThat(keys.conflictsWith(id(-1), operation("other", SideEffect.KEYED), BODY)).isTrue();
        assertThat(result(-1)).isEqualTo("none"); // its result is kept elsewhere
        assertThat(order(2, 9.999, 9.999)).isEqualTo(id(-1));
        assertThat(order(3, 10, 10)).isNull();
    }

    @Test
    void restoredTryWhoseEndComesLaterHandsItOver() {
        keys.restore(id(-1), ORDER, "token", IdempotencyCache.bodyDigest(BODY), at(10), false);
        assertThat(result(-1)).isEqualTo("waits");
        ended(-1, "done", 1);
        assertThat(result(-1)).isEqualTo("done");
    }
}

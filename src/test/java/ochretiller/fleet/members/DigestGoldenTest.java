package ochretiller.fleet.members;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;

/** Digests of a view, which servers of several releases compare; {@code docs/fleet-wire.md}. */
class DigestGoldenTest {
    private static final GoldenFile DIGESTS = new GoldenFile("member-digests");

    private static Member member(long start, long number, State state) {
        return new Member(
                new MemberId("n" + start, start),
                new Address("10.0.0.1", 4200),
                "z",
                "0.1",
                null,
                number,
                state);
    }

    private static byte[] bytes(Iterable<Long> numbers) {
        ByteBuffer out = ByteBuffer.allocate(Message.BUCKETS * Long.BYTES);
        numbers.forEach(out::putLong);
        return out.array();
    }

    @Test
    void digestsOfAViewAreTheGoldenOnes() {
        Member self = member(-5, 3, State.HERE);
        Map<String, byte[]> made = new LinkedHashMap<>();
        for (State state : State.values()) {
            Table table = new Table();
            table.add(member(7, 2, state), Duration.ZERO);
            byte[] digest = ByteBuffer.allocate(Long.BYTES).putLong(table.digest(self)).array();
            made.put("one-of-state-" + code(state), digest);
        }
        Table table = new Table();
        for (int start = 1; start <= 100; start++) {
            table.add(member(start, start, State.HERE), Duration.ZERO);
        }
        made.put("parts", bytes(table.digests(self)));
        DIGESTS.assertHolds(made);
    }

    /** The code that a state has on the wire. */
    private static int code(State state) {
        return switch (state) {
            case JOINING -> 1;
            case HERE -> 2;
            case SUSPECT -> 3;
            case SILENT -> 4;
            case LEFT -> 5;
        };
    }
}

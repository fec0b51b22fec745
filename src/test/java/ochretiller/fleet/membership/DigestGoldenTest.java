package ochretiller.fleet.membership;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;

/** Digests of a view, which servers of several releases compare; {@code docs/fleet-wire.md}. */
class DigestGoldenTest {
    private static final GoldenFile DIGESTS = new GoldenFile("member-digests");

    private static Member member(long start, long number, MemberState state) {
        return new Member(
                new MemberId("n" + start, start),
                new PeerAddress("10.0.0.1", 4200),
                "z",
                "0.1",
                Optional.empty(),
                number,
                state);
    }

    private static byte[] bytes(Iterable<Long> numbers) {
        ByteBuffer out = ByteBuffer.allocate(MembershipMessage.DIGEST_BUCKETS * Long.BYTES);
        numbers.forEach(out::putLong);
        return out.array();
    }

    @Test
    void digestsOfAViewAreTheGoldenOnes() {
        Member self = member(-5, 3, MemberState.ALIVE);
        Map<String, byte[]> made = new LinkedHashMap<>();
        for (MemberState state : MemberState.values()) {
            MemberTable table = new MemberTable();
            table.add(member(7, 2, state), Duration.ZERO);
            byte[] digest = ByteBuffer.allocate(Long.BYTES).putLong(table.digest(self)).array();
            made.put("one-of-state-" + code(state), digest);
        }
        MemberTable table = new MemberTable();
        for (int start = 1; start <= 100; start++) {
            table.add(member(start, start, MemberState.ALIVE), Duration.ZERO);
        }
        made.put("parts", bytes(table.bucketDigests(self)));
        DIGESTS.assertHolds(made);
    }

    /** The code that a state has on the wire. */
    private static int code(MemberState state) {
        return switch (state) {
            case JOINING -> 1;
            case ALIVE -> 2;
            case SUSPECT -> 3;
            case UNRESPONSIVE -> 4;
            case LEFT -> 5;
        };
    }
}

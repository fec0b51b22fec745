package ochretiller.fleet.membership;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;

/** View digests must be stable, as servers of different releases compare them. */
class DigestGoldenTest {
    private static final GoldenFile DIGESTS = new GoldenFile("member-digests");

    private static Member member(long incarnation, long stateVersion, MemberState state) {
        return new Member(
                new MemberId("n" + incarnation, incarnation),
                new PeerAddress("10.0.0.1", 4200),
                "z",
                "0.1",
                Optional.empty(),
                stateVersion,
                state);
    }

    private static byte[] bytes(Iterable<Long> digests) {
        ByteBuffer out = ByteBuffer.allocate(MembershipMessage.DIGEST_BUCKETS * Long.BYTES);
        digests.forEach(out::putLong);
        return out.array();
    }

    @Test
    void viewDigestsMatchGoldenFile() {
        Member self = member(-5, 3, MemberState.ALIVE);
        Map<String, byte[]> actual = new LinkedHashMap<>();
        for (MemberState state : MemberState.values()) {
            MemberTable table = new MemberTable();
            table.add(member(7, 2, state), Duration.ZERO);
            byte[] digest = ByteBuffer.allocate(Long.BYTES).putLong(table.digest(self)).array();
            actual.put("one-of-state-" + code(state), digest);
        }
        MemberTable table = new MemberTable();
        for (int incarnation = 1; incarnation <= 100; incarnation++) {
            table.add(member(incarnation, incarnation, MemberState.ALIVE), Duration.ZERO);
        }
        actual.put("parts", bytes(table.bucketDigests(self)));
        DIGESTS.assertMatches(actual);
    }

    /** The code of a state in the wire format. */
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

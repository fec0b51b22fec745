package ochretiller.fleet.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks how entries of several replicas merge. */
class ReplicaEntryTest {
    @Test
    void mergeIsCommutativeAssociativeAndIdempotentAndNeverShortensAWindow() {
        SplittableRandom random = new SplittableRandom(4);
        for (int i = 0; i < 2_000; i++) {
            List<ReplicaEntry> entries = new ArrayList<>();
            for (int n = 0; n < 3; n++) {
                entries.add(randomEntry(random));
            }
            ReplicaEntry a = entries.get(0);
            ReplicaEntry b = entries.get(1);
            ReplicaEntry c = entries.get(2);
            assertThat(a.merge(b).merge(c))
                    .isEqualTo(c.merge(a).merge(b))
                    .isEqualTo(a.merge(b.merge(c)));
            assertThat(a.merge(b).merge(b).merge(a)).isEqualTo(a.merge(b));
            assertThat(a.merge(b).expiresAt()).isGreaterThanOrEqualTo(a.expiresAt());
        }
    }

    private ReplicaEntry randomEntry(SplittableRandom random) {
        ReplicaEntry entry = ReplicaEntry.EMPTY;
        for (int i = 0; i < random.nextInt(4); i++) {
            ClaimId id = new ClaimId("s" + random.nextInt(3), 1, 1);
            Duration expiry = Duration.ofSeconds(random.nextInt(9));
            entry =
                    switch (random.nextInt(3)) {
                        case 0 -> entry.withClaim(id, "body " + id, expiry);
                        case 1 -> entry.withRelease(id, expiry);
                        default ->
                                entry.withOutcome(
                                        id,
                                        new ClaimOutcome(true, "body " + id, "result " + id),
                                        expiry);
                    };
        }
        return entry;
    }
}

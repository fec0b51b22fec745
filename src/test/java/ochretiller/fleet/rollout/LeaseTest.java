package ochretiller.fleet.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests when a lease is held. */
class LeaseTest {
    private final Duration now = Duration.ofSeconds(1);

    @Test
    void leaseNeedsAMajorityAndExpiresRelativeToTheRequest() {
        Lease lease = new Lease(Set.of("a", "b", "c"), Duration.ofSeconds(5), 100);
        long request = lease.startRenewal(now);
        lease.recordGrant("a", request);
        assertThat(lease.isHeld(now)).as("granted by one of three").isFalse();
        lease.recordGrant("a", request);
        lease.recordGrant("x", request);
        assertThat(lease.isHeld(now)).as("duplicates and other servers do not count").isFalse();
        lease.recordGrant("b", request);
        assertThat(lease.isHeld(now.plusSeconds(4))).isTrue();
        assertThat(lease.isHeld(now.plusSeconds(5))).as("after its duration").isFalse();
        lease.recordGrant("a", 7);
        lease.recordGrant("c", 7);
        assertThat(lease.expiresAt())
                .as("replies to a previous process are ignored")
                .isEqualTo(now.plusSeconds(5));
    }
}

package ochretiller.admission;

import static ochretiller.admission.AdmissionFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryAfterPolicyTest {
    @Test
    void retryAfterIsNeverLongerThanClientsRespect() {
        RetryAfterPolicy policy = new RetryAfterPolicy(SECOND, new SplittableRandom(1));
        assertThat(policy.randomDelay(SECOND.multipliedBy(9))).isEqualTo(SECOND);
        assertThat(policy.randomDelay(Duration.ZERO)).isPositive().isLessThan(SECOND);
    }
}

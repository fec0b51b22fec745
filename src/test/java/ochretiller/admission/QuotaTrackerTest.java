package ochretiller.admission;

import static ochretiller.admission.AdmissionFixture.SECOND;
import static ochretiller.admission.InvocationBuilder.invocation;
import static ochretiller.admission.SampleOperations.READ;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import ochretiller.model.Invocation;
import ochretiller.model.Tenant;
import ochretiller.model.TenantId;
import org.junit.jupiter.api.Test;

class QuotaTrackerTest {
    @Test
    void invocationOverQuotaGetsLowerWeight() {
        TenantId tenant = new TenantId("one");
        QuotaTracker quotas = new QuotaTracker(List.of(new Tenant(tenant, 1, 2)), 1, 0.1);
        Invocation invocation = invocation(1, READ).tenant(tenant).build();
        Duration now = SECOND.multipliedBy(2);
        // The quota of two seconds is four, and the tolerance for random arrivals adds two more.
        for (int i = 0; i < 7; i++) {
            assertThat(quotas.priorityWeight(invocation, now)).isEqualTo(1);
        }
        assertThat(quotas.priorityWeight(invocation, now)).isEqualTo(0.1);
    }
}

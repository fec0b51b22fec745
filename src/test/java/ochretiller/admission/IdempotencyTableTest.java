package ochretiller.admission;

import static ochretiller.admission.AdmissionFixture.SECOND;
import static ochretiller.admission.InvocationBuilder.invocation;
import static ochretiller.admission.SampleOperations.ORDER;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.RunOutcome.Status;
import org.junit.jupiter.api.Test;

class IdempotencyTableTest {
    @Test
    void entryFreesItsMemoryAfterItsWindow() {
        IdempotencyTable table = new IdempotencyTable(3_000, 10_000);
        table.register(invocation(1, ORDER).build(), Duration.ZERO);
        assertThat(table.hasCapacity(SECOND.multipliedBy(9))).isFalse();
        assertThat(table.hasCapacity(SECOND.multipliedBy(11))).isTrue();
    }

    @Test
    void discardedAttemptThatIsReadAgainDoesNotCorruptTheTable() {
        IdempotencyTable table = new IdempotencyTable(10, 10_000);
        table.register(invocation(1, ORDER).build(), Duration.ZERO);
        table.register(invocation(1, ORDER).build(), Duration.ZERO);
        table.register(invocation(2, ORDER).build(), SECOND.multipliedBy(30));
        assertThat(table.hasCapacity(SECOND.multipliedBy(30))).isTrue();
    }

    // Guards against memory that grows with orders under ever new keys that are given up at once.
    @Test
    void discardedEntriesAreBounded() {
        IdempotencyTable table = new IdempotencyTable(10, 10_000);
        for (int id = 1; id <= 20_000; id++) {
            Invocation order = invocation(id, ORDER).build();
            table.register(order, Duration.ZERO);
            table.discard(table.find(order.id()).orElseThrow());
        }
        assertThat(table.size()).isLessThan(5_000);
        assertThat(table.find(new InvocationId(20_000))).isPresent();
    }

    @Test
    void restoredEntriesUseMemory() {
        AdmissionFixture server = new AdmissionFixture();
        server.settings.memoryKb(100); // fits four entries of 10 KB
        for (int i = 1; i <= 4; i++) {
            server.restore(-i, SECOND.multipliedBy(9), Status.SUCCEEDED);
        }
        assertThat(server.receive(1, ORDER)).containsExactly("throttle 1");
        server.now = SECOND.multipliedBy(9);
        assertThat(server.receive(2, ORDER))
                .as("the windows of the restored entries have ended")
                .containsExactly("putEntry 2");
    }
}

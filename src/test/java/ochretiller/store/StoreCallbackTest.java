package ochretiller.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class StoreCallbackTest {
    /** Guards against appends that end within their start, each starting the next one. */
    @Test
    void rejectedAppendIsReportedByTheExecutorOnly() throws IOException {
        List<Runnable> callbacks = new ArrayList<>();
        List<AppendResult> results = new ArrayList<>();
        BootClock clock = new BootClock(Optional.of(StoreFixture.BOOT_ID), () -> 0);
        StoreLimits noCapacity = StoreFixture.limits().maxEntries(0).build();
        try (Store store = Store.open(new VolatileDirectory(), noCapacity, clock, callbacks::add)) {
            byte[] key = "key".getBytes();
            store.putNew(key, key, key, store.nowMillis() + 1, results::add);
            assertThat(results).isEmpty();
            callbacks.forEach(Runnable::run);
        }
        assertThat(results).containsExactly(AppendResult.CAPACITY_EXCEEDED);
    }
}

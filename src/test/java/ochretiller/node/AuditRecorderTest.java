package ochretiller.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import ochretiller.ManualEventLoop;
import ochretiller.audit.AuditEvent;
import ochretiller.audit.files.AuditLogReader;
import ochretiller.fleet.service.RolloutEvent;
import ochretiller.metrics.Metrics;
import ochretiller.operator.OperatorConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards the event numbers in audit files, which must stay the same across releases. */
class AuditRecorderTest {
    private static final List<RolloutEvent> EVENTS =
            List.of(
                    RolloutEvent.VERSION_CHANGED,
                    RolloutEvent.VERSION_REJECTED,
                    RolloutEvent.FENCED,
                    RolloutEvent.UNFENCED,
                    RolloutEvent.VERSION_PUBLISHED,
                    RolloutEvent.ROLLOUT_CHANGED,
                    RolloutEvent.PEER_AUDIT_WITNESSED);
    @TempDir private Path folder;

    private Stream<Integer> recordedKinds() throws Exception {
        return AuditLogReader.read(folder, List.of()).decodedRecords().stream()
                .filter(AuditEvent.class::isInstance)
                .map(record -> ((AuditEvent) record).kind().ordinal());
    }

    @Test
    void rolloutEventsAreRecordedUnderTheirNumbers() throws Exception {
        OperatorConfig.Audit settings =
                new OperatorConfig.Audit(folder, Duration.ofMinutes(1), 1 << 20, true);
        AuditRecorder recorder =
                new AuditRecorder(
                        new ManualEventLoop(), settings, "n1", () -> 1_000, new Metrics());
        recorder.start();
        for (RolloutEvent event : EVENTS) {
            recorder.recordRolloutEvent(event, 1, "", "");
        }
        recorder.close();
        assertThat(EVENTS).containsExactlyInAnyOrder(RolloutEvent.values());
        assertThat(recordedKinds())
                .as("start, then the events in their order, then stop")
                .containsExactly(0, 1, 2, 3, 4, 5, 6, 9, 8);
    }
}

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

/** What happens to a version is kept under the number that the audit's files have for it. */
class AuditRecorderTest {
    private static final List<RolloutEvent> EVENTS =
            List.of(
                    RolloutEvent.CHANGED,
                    RolloutEvent.REFUSED,
                    RolloutEvent.SHUT_OUT,
                    RolloutEvent.LET_IN,
                    RolloutEvent.PUBLISHED,
                    RolloutEvent.ROLLOUT,
                    RolloutEvent.WITNESSED);
    @TempDir private Path folder;

    private Stream<Integer> kinds() throws Exception {
        return AuditLogReader.read(folder, List.of()).decodedRecords().stream()
                .filter(AuditEvent.class::isInstance)
                .map(entry -> ((AuditEvent) entry).kind().ordinal());
    }

    @Test
    void eachEventHasItsNumberInTheFile() throws Exception {
        OperatorConfig.Audit told =
                new OperatorConfig.Audit(folder, Duration.ofMinutes(1), 1 << 20, true);
        AuditRecorder auditor =
                new AuditRecorder(new ManualEventLoop(), told, "n1", () -> 1_000, new Metrics());
        auditor.start();
        for (RolloutEvent what : EVENTS) {
            auditor.recordRolloutEvent(what, 1, "", "");
        }
        auditor.close();
        assertThat(EVENTS).containsExactlyInAnyOrder(RolloutEvent.values());
        assertThat(kinds())
                .as("started, the events in their order, ended")
                .containsExactly(0, 1, 2, 3, 4, 5, 6, 9, 8);
    }
}

package ochretiller.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import ochretiller.HandLoop;
import ochretiller.audit.Entry;
import ochretiller.audit.files.AuditFolder;
import ochretiller.fleet.peers.Versions;
import ochretiller.metrics.Metrics;
import ochretiller.operator.Operator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What happens to a version is kept under the number that the audit's files have for it. */
class AuditorTest {
    private static final List<Versions.What> EVENTS =
            List.of(
                    Versions.What.CHANGED,
                    Versions.What.REFUSED,
                    Versions.What.SHUT_OUT,
                    Versions.What.LET_IN,
                    Versions.What.PUBLISHED,
                    Versions.What.ROLLOUT,
                    Versions.What.WITNESSED);
    @TempDir private Path folder;

    private Stream<Integer> kinds() throws Exception {
        return AuditFolder.read(folder, List.of()).entries().stream()
                .filter(Entry.Event.class::isInstance)
                .map(entry -> ((Entry.Event) entry).kind().ordinal());
    }

    @Test
    void eachEventHasItsNumberInTheFile() throws Exception {
        Operator.Audit told = new Operator.Audit(folder, Duration.ofMinutes(1), 1 << 20, true);
        Auditor auditor = new Auditor(new HandLoop(), told, "n1", () -> 1_000, new Metrics());
        auditor.start();
        for (Versions.What what : EVENTS) {
            auditor.told(what, 1, "", "");
        }
        auditor.close();
        assertThat(EVENTS).containsExactlyInAnyOrder(Versions.What.values());
        assertThat(kinds())
                .as("started, the events in their order, ended")
                .containsExactly(0, 1, 2, 3, 4, 5, 6, 9, 8);
    }
}

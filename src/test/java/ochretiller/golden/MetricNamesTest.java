package ochretiller.golden;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Pins the names and types of all metrics of a server with all optional features enabled. */
class MetricNamesTest {
    @TempDir private Path folder;

    private List<String> writtenMetrics() throws Exception {
        try (WholeServer server = new WholeServer(folder)) {
            WholeServer.await(() -> Files.exists(server.metrics));
            return Files.readAllLines(server.metrics);
        }
    }

    private static List<String> expectedTypeLines() throws IOException {
        try (var in = MetricNamesTest.class.getResourceAsStream("metrics.txt")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    @Test
    void namesTypesAndHelpTextsAreUnchanged() throws Exception {
        List<String> lines = writtenMetrics();
        assertThat(lines)
                .filteredOn(line -> line.startsWith("# TYPE "))
                .containsExactlyElementsOf(expectedTypeLines());
        assertThat(lines)
                .filteredOn(line -> line.contains("Packets refused: "))
                .containsExactly(
                        "# HELP fleet_refused_behind_total Packets refused: BEHIND",
                        "# HELP fleet_refused_forged_total Packets refused: FORGED",
                        "# HELP fleet_refused_kind_total Packets refused: KIND",
                        "# HELP fleet_refused_length_total Packets refused: LENGTH",
                        "# HELP fleet_refused_malformed_total Packets refused: MALFORMED",
                        "# HELP fleet_refused_newer_total Packets refused: NEWER",
                        "# HELP fleet_refused_not_ours_total Packets refused: NOT_OURS",
                        "# HELP fleet_refused_other_fleet_total Packets refused: OTHER_FLEET",
                        "# HELP fleet_refused_over_budget_total Packets refused: OVER_BUDGET",
                        "# HELP fleet_refused_replayed_total Packets refused: REPLAYED");
        assertThat(lines)
                .filteredOn(line -> !line.startsWith("#"))
                .allMatch(line -> line.matches("[a-z0-9_]+ [-+0-9.eENa]+"))
                .hasSameSizeAs(expectedTypeLines());
    }
}

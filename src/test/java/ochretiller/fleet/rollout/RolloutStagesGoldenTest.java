package ochretiller.fleet.rollout;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.consensus.RolloutPhase;
import ochretiller.fleet.consensus.RolloutState;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;

/** Compares each stage's servers with a golden file, since different releases must agree. */
class RolloutStagesGoldenTest {
    private static final GoldenFile SELECTIONS = new GoldenFile("stage-draws");
    private static final int SERVERS = 12;

    private static ReplicaPlacement createPlacement(int version, int stage) {
        List<ReplicaServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ReplicaServer("n" + i, "z" + i % 3));
        }
        PublishedVersion target =
                new PublishedVersion(version, "f".repeat(64), 1, "", "ann", "why");
        return new ReplicaPlacement(
                4,
                servers,
                servers,
                3,
                new RolloutState(target, PublishedVersion.NONE, stage, RolloutPhase.RUNNING));
    }

    @Test
    void selectedServersMatchTheGoldenFile() {
        Map<String, byte[]> selections = new LinkedHashMap<>();
        for (int version = 1; version <= 3; version++) {
            for (int stage = 0; stage <= 2; stage++) {
                ReplicaPlacement placement = createPlacement(version, stage);
                StringBuilder flags = new StringBuilder();
                // Names outside the placement are selected by their own hash.
                for (int i = 0; i < 3 * SERVERS; i++) {
                    flags.append(RolloutStages.includes(placement, "n" + i) ? '1' : '0');
                }
                selections.put(
                        "version-" + version + "-stage-" + stage,
                        flags.toString().getBytes(StandardCharsets.US_ASCII));
            }
        }
        SELECTIONS.assertMatches(selections);
    }
}

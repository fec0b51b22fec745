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

/** Who acts on a new version at each stage: servers of several releases agree on that. */
class StagesGoldenTest {
    private static final GoldenFile DRAWS = new GoldenFile("stage-draws");
    private static final int SERVERS = 12;

    private static ReplicaPlacement layout(int version, int stage) {
        List<ReplicaServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ReplicaServer("n" + i, "z" + i % 3));
        }
        PublishedVersion to = new PublishedVersion(version, "f".repeat(64), 1, "", "ann", "why");
        return new ReplicaPlacement(
                4,
                servers,
                servers,
                3,
                new RolloutState(to, PublishedVersion.NONE, stage, RolloutPhase.RUNNING));
    }

    @Test
    void whoActsOnAVersionAtEachStageIsAsBefore() {
        Map<String, byte[]> made = new LinkedHashMap<>();
        for (int version = 1; version <= 3; version++) {
            for (int stage = 0; stage <= 2; stage++) {
                ReplicaPlacement layout = layout(version, stage);
                StringBuilder on = new StringBuilder();
                // Some of these names are in no layout: they go by their own draw.
                for (int i = 0; i < 3 * SERVERS; i++) {
                    on.append(RolloutStages.includes(layout, "n" + i) ? '1' : '0');
                }
                made.put(
                        "version-" + version + "-stage-" + stage,
                        on.toString().getBytes(StandardCharsets.US_ASCII));
            }
        }
        DRAWS.assertHolds(made);
    }
}

package ochretiller.fleet.service;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.replication.ClaimOutcome;
import ochretiller.fleet.replication.Replica;
import ochretiller.fleet.replication.ReplicaEntry;
import ochretiller.fleet.replication.ReplicaStatistics;
import ochretiller.fleet.replication.TokenSummary;

/**
 * What a server keeps for its fleet, as JSON, as the operators' commands read it. Made on the one
 * thread.
 */
final class ReplicationStatusJson {
    /** Tokens of a range that are listed: an answer has a bound. */
    private static final int MOST_TOKENS = 5_000;

    private final ReplicationService.Inside inside;

    ReplicationStatusJson(ReplicationService.Inside inside) {
        this.inside = inside;
    }

    String status() {
        Replica keeper = inside.keeper();
        ReplicaStatistics figures = keeper == null ? ReplicaStatistics.NONE : keeper.statistics();
        return JsonText.object(
                to -> {
                    ReplicaPlacement layout = inside.layout();
                    to.writeStringField("name", inside.name());
                    to.writeNumberField("epoch", layout.epoch());
                    to.writeNumberField("factor", layout.replicationFactor());
                    to.writeArrayFieldStart("keepers");
                    for (ReplicaServer each : layout.servers()) {
                        to.writeString(each.name());
                    }
                    to.writeEndArray();
                    to.writeStringField("disk", inside.disk());
                    to.writeBooleanField("returning", keeper != null && keeper.isCheckingDisk());
                    to.writeNumberField("entries", figures.entries());
                    to.writeNumberField("bytes", figures.estimatedBytes());
                    to.writeNumberField("ranges", keeper == null ? 0 : ranges(layout));
                    to.writeNumberField("behind", keeper == null ? 0 : keeper.laggingRangeCount());
                    to.writeNumberField(
                            "oldest_gap_ms",
                            keeper == null ? 0 : keeper.oldestLag(inside.now()).toMillis());
                    to.writeNumberField("hints", figures.hints());
                    to.writeNumberField("conflicts", figures.conflicts());
                    to.writeNumberField("fetched", figures.receivedEntries());
                    to.writeNumberField("fetched_bytes", figures.receivedBytes());
                    to.writeNumberField("sent_bytes", figures.sentBytes());
                    to.writeNumberField("compares", figures.comparisons());
                    to.writeNumberField("differed", figures.differences());
                    to.writeNumberField("claims_under_way", inside.underWay());
                    to.writeNumberField("claim_limit", Math.round(inside.limit()));
                    to.writeNumberField("words_waiting", inside.wordsWaiting());
                });
    }

    private int ranges(ReplicaPlacement layout) {
        int mine = 0;
        for (int range = 0; range < ReplicaPlacement.RANGE_COUNT; range++) {
            if (layout.replicasOf(range).contains(inside.name())) {
                mine++;
            }
        }
        return mine;
    }

    String show(String token) {
        Replica keeper = inside.keeper();
        int range = ReplicaPlacement.rangeOf(token);
        Duration now = inside.now();
        return JsonText.object(
                to -> {
                    to.writeStringField("name", inside.name());
                    to.writeNumberField("epoch", inside.layout().epoch());
                    to.writeNumberField("range", range);
                    to.writeArrayFieldStart("keepers");
                    for (String each : inside.layout().replicasOf(range)) {
                        to.writeString(each);
                    }
                    to.writeEndArray();
                    to.writeBooleanField("behind", keeper != null && keeper.isLagging(range));
                    if (keeper != null) {
                        entry(to, keeper.entry(token), now);
                    }
                });
    }

    private static void entry(JsonGenerator to, ReplicaEntry entry, Duration now)
            throws IOException {
        to.writeBooleanField(
                "known", !entry.claims().isEmpty() || !entry.releasedClaims().isEmpty());
        to.writeNumberField("window_left_ms", Math.max(0, entry.expiresAt().minus(now).toMillis()));
        to.writeBooleanField("conflict", entry.hasConflict());
        to.writeArrayFieldStart("claims");
        for (Map.Entry<ClaimId, String> each : entry.claims().entrySet()) {
            to.writeStartObject();
            to.writeStringField("claim", each.getKey().toString());
            to.writeStringField("body", each.getValue());
            to.writeBooleanField("released", entry.releasedClaims().contains(each.getKey()));
            to.writeEndObject();
        }
        to.writeEndArray();
        to.writeArrayFieldStart("ends");
        for (Map.Entry<ClaimId, ClaimOutcome> each : entry.outcomes().entrySet()) {
            to.writeStartObject();
            to.writeStringField("claim", each.getKey().toString());
            to.writeBooleanField("succeeded", each.getValue().succeeded());
            to.writeStringField("body", each.getValue().fingerprint());
            to.writeNumberField("bytes", each.getValue().resultSize());
            to.writeStringField("sum", Long.toHexString(each.getValue().checksum()));
            to.writeBooleanField("here", each.getValue().resultPresent());
            to.writeEndObject();
        }
        to.writeEndArray();
    }

    /** Of each range that this server keeps: its entries and the digest of them. */
    String digests() {
        Replica keeper = inside.keeper();
        ReplicaPlacement layout = inside.layout();
        return JsonText.object(
                to -> {
                    to.writeStringField("name", inside.name());
                    to.writeNumberField("epoch", layout.epoch());
                    to.writeObjectFieldStart("ranges");
                    for (int range = 0;
                            keeper != null && range < ReplicaPlacement.RANGE_COUNT;
                            range++) {
                        if (!layout.replicasOf(range).contains(inside.name())) {
                            continue;
                        }
                        to.writeArrayFieldStart(Integer.toString(range));
                        to.writeNumber(keeper.entryCount(range));
                        to.writeString(Long.toHexString(keeper.rangeDigest(range)));
                        to.writeBoolean(!keeper.isLagging(range));
                        to.writeEndArray();
                    }
                    to.writeEndObject();
                });
    }

    /**
     * The tokens of one range, each with a mark of what is known of it and a word on how far it is.
     */
    String range(String number) {
        Replica keeper = inside.keeper();
        int range;
        try {
            range = Integer.parseInt(number.trim());
        } catch (NumberFormatException e) {
            range = -1;
        }
        List<TokenSummary> tokens =
                keeper == null || range < 0 || range >= ReplicaPlacement.RANGE_COUNT
                        ? List.of()
                        : keeper.listTokens(range, MOST_TOKENS);
        return JsonText.object(
                to -> {
                    to.writeStringField("name", inside.name());
                    to.writeArrayFieldStart("tokens");
                    for (TokenSummary each : tokens) {
                        to.writeStartArray();
                        to.writeString(each.token());
                        to.writeString(Long.toHexString(each.digest()));
                        to.writeString(each.status());
                        to.writeEndArray();
                    }
                    to.writeEndArray();
                });
    }
}

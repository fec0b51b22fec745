package ochretiller.fleet.service;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.replication.ClaimCoordinator;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.replication.ClaimOutcome;
import ochretiller.fleet.replication.Replica;
import ochretiller.fleet.replication.ReplicaEntry;
import ochretiller.fleet.replication.ReplicaStatistics;
import ochretiller.fleet.replication.TokenSummary;

/** Encodes the replication status as JSON for admin commands. Confined to the event loop. */
final class ReplicationStatusJson {
    /** Maximum number of listed tokens of a range; bounds the length of a response. */
    private static final int MAX_LISTED_TOKENS = 5_000;

    private static final int NO_RANGE = -1;

    private final FleetContext context;
    private final ClaimCoordinator coordinator;
    private final ReplicaHost replicaHost;

    ReplicationStatusJson(
            FleetContext context, ClaimCoordinator coordinator, ReplicaHost replicaHost) {
        this.context = context;
        this.coordinator = coordinator;
        this.replicaHost = replicaHost;
    }

    /** Returns the status of this server's replica and claims. */
    String status() {
        ReplicaPlacement placement = coordinator.placement();
        Optional<Replica> replica = replicaHost.replica();
        return JsonText.object(
                out -> {
                    out.writeStringField("name", context.serverName());
                    out.writeNumberField("epoch", placement.epoch());
                    out.writeNumberField("factor", placement.replicationFactor());
                    out.writeArrayFieldStart("keepers");
                    for (ReplicaServer each : placement.servers()) {
                        out.writeString(each.name());
                    }
                    out.writeEndArray();
                    out.writeStringField("disk", replicaHost.diskState());
                    out.writeBooleanField(
                            "returning", replica.map(Replica::isCheckingDisk).orElse(false));
                    writeReplica(out, replica);
                    out.writeNumberField("claims_under_way", coordinator.inFlightCount());
                    out.writeNumberField("claim_limit", Math.round(coordinator.concurrencyLimit()));
                    out.writeNumberField("words_waiting", replicaHost.barrier().waitingMessages());
                });
    }

    private void writeReplica(JsonGenerator out, Optional<Replica> replica) throws IOException {
        ReplicaStatistics statistics =
                replica.map(Replica::statistics).orElse(ReplicaStatistics.NONE);
        out.writeNumberField("entries", statistics.entries());
        out.writeNumberField("bytes", statistics.estimatedBytes());
        out.writeNumberField("ranges", replica.isPresent() ? ownRanges().count() : 0);
        out.writeNumberField("behind", replica.map(Replica::laggingRangeCount).orElse(0));
        Duration now = context.scheduler().now();
        out.writeNumberField(
                "oldest_gap_ms",
                replica.map(existing -> existing.longestLag(now).toMillis()).orElse(0L));
        out.writeNumberField("hints", statistics.hints());
        out.writeNumberField("conflicts", statistics.conflicts());
        out.writeNumberField("fetched", statistics.receivedEntries());
        out.writeNumberField("fetched_bytes", statistics.receivedBytes());
        out.writeNumberField("sent_bytes", statistics.sentBytes());
        out.writeNumberField("compares", statistics.comparisons());
        out.writeNumberField("differed", statistics.differences());
    }

    private IntStream ownRanges() {
        return IntStream.range(0, ReplicaPlacement.RANGE_COUNT).filter(this::isOwnRange);
    }

    private boolean isOwnRange(int range) {
        return coordinator.placement().replicasOf(range).contains(context.serverName());
    }

    /** Returns a token's range, replicas and local entry. */
    String tokenStatus(String token) {
        Optional<Replica> replica = replicaHost.replica();
        int range = ReplicaPlacement.rangeOf(token);
        ReplicaPlacement placement = coordinator.placement();
        return JsonText.object(
                out -> {
                    out.writeStringField("name", context.serverName());
                    out.writeNumberField("epoch", placement.epoch());
                    out.writeNumberField("range", range);
                    out.writeArrayFieldStart("keepers");
                    for (String each : placement.replicasOf(range)) {
                        out.writeString(each);
                    }
                    out.writeEndArray();
                    out.writeBooleanField(
                            "behind",
                            replica.map(existing -> existing.isLagging(range)).orElse(false));
                    if (replica.isPresent()) {
                        writeEntry(out, replica.get().entry(token));
                    }
                });
    }

    private void writeEntry(JsonGenerator out, ReplicaEntry entry) throws IOException {
        boolean isKnown = !entry.claims().isEmpty() || !entry.releasedClaims().isEmpty();
        Duration remaining = entry.expiresAt().minus(context.scheduler().now());
        out.writeBooleanField("known", isKnown);
        out.writeNumberField("window_left_ms", Math.max(0, remaining.toMillis()));
        out.writeBooleanField("conflict", entry.hasConflict());
        out.writeArrayFieldStart("claims");
        for (Map.Entry<ClaimId, String> each : entry.claims().entrySet()) {
            out.writeStartObject();
            out.writeStringField("claim", each.getKey().toString());
            out.writeStringField("body", each.getValue());
            out.writeBooleanField("released", entry.releasedClaims().contains(each.getKey()));
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeArrayFieldStart("ends");
        for (Map.Entry<ClaimId, ClaimOutcome> each : entry.outcomes().entrySet()) {
            writeOutcome(out, each.getKey(), each.getValue());
        }
        out.writeEndArray();
    }

    private static void writeOutcome(JsonGenerator out, ClaimId claimId, ClaimOutcome outcome)
            throws IOException {
        out.writeStartObject();
        out.writeStringField("claim", claimId.toString());
        out.writeBooleanField("succeeded", outcome.succeeded());
        out.writeStringField("body", outcome.fingerprint());
        out.writeNumberField("bytes", outcome.resultSize());
        out.writeStringField("sum", Long.toHexString(outcome.checksum()));
        out.writeBooleanField("here", outcome.resultPresent());
        out.writeEndObject();
    }

    /** Returns the entry count, digest and completeness of each range of this server. */
    String rangeDigests() {
        return JsonText.object(
                out -> {
                    out.writeStringField("name", context.serverName());
                    out.writeNumberField("epoch", coordinator.placement().epoch());
                    out.writeObjectFieldStart("ranges");
                    if (replicaHost.replica().isPresent()) {
                        writeDigests(out, replicaHost.replica().get());
                    }
                    out.writeEndObject();
                });
    }

    private void writeDigests(JsonGenerator out, Replica replica) throws IOException {
        for (int range : ownRanges().toArray()) {
            out.writeArrayFieldStart(Integer.toString(range));
            out.writeNumber(replica.entryCount(range));
            out.writeString(Long.toHexString(replica.rangeDigest(range)));
            out.writeBoolean(!replica.isLagging(range));
            out.writeEndArray();
        }
    }

    /**
     * Returns the tokens of a range, each with a digest and its status.
     *
     * @param number decimal number of the range; no tokens are listed if it is invalid
     */
    String rangeTokens(String number) {
        int range = parseRange(number);
        List<TokenSummary> tokens =
                range == NO_RANGE
                        ? List.of()
                        : replicaHost
                                .replica()
                                .map(replica -> replica.listTokens(range, MAX_LISTED_TOKENS))
                                .orElse(List.of());
        return JsonText.object(
                out -> {
                    out.writeStringField("name", context.serverName());
                    out.writeArrayFieldStart("tokens");
                    for (TokenSummary each : tokens) {
                        out.writeStartArray();
                        out.writeString(each.token());
                        out.writeString(Long.toHexString(each.digest()));
                        out.writeString(each.status());
                        out.writeEndArray();
                    }
                    out.writeEndArray();
                });
    }

    private static int parseRange(String number) {
        try {
            int range = Integer.parseInt(number.trim());
            return range >= 0 && range < ReplicaPlacement.RANGE_COUNT ? range : NO_RANGE;
        } catch (NumberFormatException e) {
            return NO_RANGE;
        }
    }
}

package ochretiller.fleet.transport;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import ochretiller.fleet.consensus.Ballot;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.consensus.RolloutPhase;
import ochretiller.fleet.consensus.RolloutState;

/**
 * Encodes and decodes the values of the epoch consensus: ballots, placements, rollout states and
 * versions. Used for packets and for files of acceptors, replicas and rollouts. Stateless.
 */
public final class PlacementCodec {
    private static final int MAX_REPLICATION_FACTOR = 9;

    /** Phases in the order of their numbers on the wire and in files. */
    private static final List<RolloutPhase> PHASES = List.of(RolloutPhase.values());

    private PlacementCodec() {}

    /** Writes a ballot as two fields. */
    public static void writeBallot(CBORGenerator out, Ballot ballot) throws IOException {
        out.writeNumber(ballot.round());
        out.writeString(ballot.proposer());
    }

    /** Reads the two fields of a ballot. */
    public static Ballot readBallot(CborReader in) throws IOException {
        return new Ballot(in.readLong(), in.readText());
    }

    /** Writes a placement and its rollout state as fields of the enclosing array. */
    public static void writePlacement(CBORGenerator out, ReplicaPlacement placement)
            throws IOException {
        out.writeNumber(placement.epoch());
        out.writeNumber(placement.replicationFactor());
        writeServers(out, placement.servers());
        writeServers(out, placement.previousServers());
        writeRollout(out, placement.rollout());
    }

    /** Reads the fields of a placement, whose epoch and factor must be within bounds. */
    public static ReplicaPlacement readPlacement(CborReader in) throws IOException {
        long epoch = in.readLong();
        long factor = in.readLong();
        if (epoch < 0 || factor < 1 || factor > MAX_REPLICATION_FACTOR) {
            throw new IllegalArgumentException(
                    "invalid placement: epoch " + epoch + ", replication factor " + factor);
        }
        return new ReplicaPlacement(
                epoch, readServers(in), readServers(in), (int) factor, readRollout(in));
    }

    /** Writes whether a placement is present, followed by the placement if it is. */
    public static void writeOptionalPlacement(
            CBORGenerator out, Optional<ReplicaPlacement> placement) throws IOException {
        out.writeBoolean(placement.isPresent());
        if (placement.isPresent()) {
            writePlacement(out, placement.get());
        }
    }

    /** Reads a placement that {@link #writeOptionalPlacement} has written. */
    public static Optional<ReplicaPlacement> readOptionalPlacement(CborReader in)
            throws IOException {
        return in.readBoolean() ? Optional.of(readPlacement(in)) : Optional.empty();
    }

    private static void writeServers(CBORGenerator out, List<ReplicaServer> servers)
            throws IOException {
        CborWriter.writeList(out, servers, PlacementCodec::writeServer);
    }

    private static void writeServer(CBORGenerator out, ReplicaServer server) throws IOException {
        out.writeStartArray();
        out.writeString(server.name());
        out.writeString(server.zone());
        out.writeEndArray();
    }

    private static List<ReplicaServer> readServers(CborReader in) throws IOException {
        return in.readList(
                () -> {
                    ReplicaServer server = new ReplicaServer(in.readText(), in.readText());
                    in.readEndArray();
                    return server;
                });
    }

    private static void writeRollout(CBORGenerator out, RolloutState rollout) throws IOException {
        writeVersion(out, rollout.target());
        writeVersion(out, rollout.previous());
        out.writeNumber(rollout.stage());
        out.writeNumber(PHASES.indexOf(rollout.phase()));
    }

    private static RolloutState readRollout(CborReader in) throws IOException {
        return new RolloutState(
                readVersion(in), readVersion(in), in.readInt(), in.readConstant(PHASES));
    }

    /** Writes a published version as fields of the enclosing array. */
    public static void writeVersion(CBORGenerator out, PublishedVersion version)
            throws IOException {
        out.writeNumber(version.number());
        out.writeString(version.hash());
        out.writeNumber(version.sizeBytes());
        out.writeString(version.minimumBuild());
        out.writeString(version.publisher());
        out.writeString(version.reason());
    }

    /** Reads the fields of a published version. */
    public static PublishedVersion readVersion(CborReader in) throws IOException {
        return new PublishedVersion(
                in.readLong(),
                in.readText(),
                in.readInt(),
                in.readText(),
                in.readText(),
                in.readText());
    }
}

package ochretiller.fleet.service;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import ochretiller.fleet.consensus.AcceptorState;
import ochretiller.fleet.consensus.Ballot;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.transport.CborReader;
import ochretiller.fleet.transport.PlacementCodec;
import ochretiller.settings.MalformedException;

/** The file of an acceptor's durable state, which operators know as the voter file. */
final class AcceptorFile {
    private final Path file;
    private final ChecksummedFile checksummedFile;

    AcceptorFile(Path file) {
        this.file = file;
        this.checksummedFile = new ChecksummedFile(file);
    }

    /**
     * Reads the state.
     *
     * @return the state, or empty if there is no file
     * @throws MalformedException if the file cannot be read; without it the acceptor might break a
     *     promise
     */
    Optional<AcceptorState> read() {
        try {
            return checksummedFile.read(AcceptorFile::readState);
        } catch (CorruptFileException e) {
            throw new MalformedException(
                    "the voter file "
                            + file
                            + " is corrupt; remove it to let this voter recover its state from the"
                            + " other servers");
        } catch (IOException e) {
            throw new MalformedException(
                    "cannot read the voter file " + file + ": " + e.getMessage());
        }
    }

    private static AcceptorState readState(CborReader in) throws IOException {
        long abstainsThrough = in.readLong();
        Ballot promisedBallot = PlacementCodec.readBallot(in);
        Ballot acceptedBallot = PlacementCodec.readBallot(in);
        ReplicaPlacement committed = PlacementCodec.readPlacement(in);
        Optional<ReplicaPlacement> accepted = PlacementCodec.readOptionalPlacement(in);
        return new AcceptorState(
                committed, promisedBallot, acceptedBallot, accepted, abstainsThrough);
    }

    /** Writes the state durably. Blocks on the disk, so it must not run on the event loop. */
    void write(AcceptorState state) throws IOException {
        checksummedFile.write(out -> writeState(out, state));
    }

    private static void writeState(CBORGenerator out, AcceptorState state) throws IOException {
        out.writeNumber(state.abstainsThrough());
        PlacementCodec.writeBallot(out, state.promisedBallot());
        PlacementCodec.writeBallot(out, state.acceptedBallot());
        PlacementCodec.writePlacement(out, state.committedPlacement());
        PlacementCodec.writeOptionalPlacement(out, state.acceptedPlacement());
    }
}

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

/** The durable state of an acceptor (the promises of a voter) in a file of its own. */
final class AcceptorFile {
    private final Path file;
    private final SealedFile sealedFile;

    AcceptorFile(Path file) {
        this.file = file;
        this.sealedFile = new SealedFile(file);
    }

    /**
     * Reads the state.
     *
     * @return nothing if there is no file
     * @throws MalformedException if the file cannot be read: it may hide a promise
     */
    Optional<AcceptorState> read() {
        try {
            return sealedFile.read(AcceptorFile::readState);
        } catch (CorruptFileException e) {
            throw new MalformedException(
                    "the voter's file "
                            + file
                            + " is damaged: take it away, and the voter asks the others what it may"
                            + " have promised");
        } catch (IOException e) {
            throw new MalformedException("cannot read the voter's file " + file);
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

    /** Writes the state, which is durable once this returns. Not to be called on the event loop. */
    void write(AcceptorState state) throws IOException {
        sealedFile.write(out -> writeState(out, state));
    }

    private static void writeState(CBORGenerator out, AcceptorState state) throws IOException {
        out.writeNumber(state.abstainsThrough());
        PlacementCodec.writeBallot(out, state.promisedBallot());
        PlacementCodec.writeBallot(out, state.acceptedBallot());
        PlacementCodec.writePlacement(out, state.committed());
        PlacementCodec.writeOptionalPlacement(out, state.acceptedPlacement());
    }
}

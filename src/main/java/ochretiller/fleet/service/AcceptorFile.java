package ochretiller.fleet.service;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import ochretiller.fleet.consensus.AcceptorState;
import ochretiller.fleet.consensus.Ballot;
import ochretiller.fleet.consensus.ConsensusMessage;
import ochretiller.fleet.transport.PacketCodec;
import ochretiller.fleet.transport.ReplicationCodec;
import ochretiller.settings.MalformedException;

/** What a voter has promised, in a file of its own. */
final class AcceptorFile {
    private final Path file;
    private final SealedFile sealed;

    AcceptorFile(Path file) {
        this.file = file;
        this.sealed = new SealedFile(file);
    }

    /**
     * What was kept, or null where there is no file; one that is damaged is told, since it may hide
     * a promise.
     */
    AcceptorState read() {
        try {
            return sealed.read(
                    in -> {
                        long abstains = PacketCodec.number(in);
                        Ballot ballot = new Ballot(PacketCodec.number(in), PacketCodec.text(in));
                        Ballot at = new Ballot(PacketCodec.number(in), PacketCodec.text(in));
                        ConsensusMessage.Committed agreed =
                                new ConsensusMessage.Committed(ReplicationCodec.layout(in));
                        boolean accepted = PacketCodec.bool(in);
                        return new AcceptorState(
                                agreed.placement(),
                                ballot,
                                at,
                                accepted
                                        ? Optional.of(ReplicationCodec.layout(in))
                                        : Optional.empty(),
                                abstains);
                    });
        } catch (SealedFile.DamagedException e) {
            throw new MalformedException(
                    "the voter's file "
                            + file
                            + " is damaged: take it away, and the voter asks the others what it may"
                            + " have promised");
        } catch (IOException e) {
            throw new MalformedException("cannot read the voter's file " + file);
        }
    }

    /** Durable once it returns; not on the one thread. */
    void write(AcceptorState promised) throws IOException {
        sealed.write(
                to -> {
                    to.writeNumber(promised.abstainsThrough());
                    to.writeNumber(promised.promisedBallot().round());
                    to.writeString(promised.promisedBallot().proposer());
                    to.writeNumber(promised.acceptedBallot().round());
                    to.writeString(promised.acceptedBallot().proposer());
                    ReplicationCodec.layout(to, promised.committed());
                    to.writeBoolean(promised.acceptedPlacement().isPresent());
                    if (promised.acceptedPlacement().isPresent()) {
                        ReplicationCodec.layout(to, promised.acceptedPlacement().get());
                    }
                });
    }
}

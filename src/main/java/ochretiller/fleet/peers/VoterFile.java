package ochretiller.fleet.peers;

import java.io.IOException;
import java.nio.file.Path;
import ochretiller.fleet.epochs.Ballot;
import ochretiller.fleet.epochs.EpochMessage;
import ochretiller.fleet.epochs.Voter;
import ochretiller.settings.MalformedException;

/** What a voter has promised, in a file of its own. */
final class VoterFile {
    private final Path file;
    private final SealedFile sealed;

    VoterFile(Path file) {
        this.file = file;
        this.sealed = new SealedFile(file);
    }

    /**
     * What was kept, or null where there is no file; one that is damaged is told, since it may hide
     * a promise.
     */
    Voter.Promised read() {
        try {
            return sealed.read(
                    in -> {
                        long abstains = Codec.number(in);
                        Ballot ballot = new Ballot(Codec.number(in), Codec.text(in));
                        Ballot at = new Ballot(Codec.number(in), Codec.text(in));
                        EpochMessage.Agreed agreed = new EpochMessage.Agreed(CopyCodec.layout(in));
                        boolean accepted = Codec.bool(in);
                        return new Voter.Promised(
                                agreed.layout(),
                                ballot,
                                at,
                                accepted ? CopyCodec.layout(in) : null,
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
    void write(Voter.Promised promised) throws IOException {
        sealed.write(
                to -> {
                    to.writeNumber(promised.abstainsTo());
                    to.writeNumber(promised.ballot().round());
                    to.writeString(promised.ballot().voter());
                    to.writeNumber(promised.acceptedAt().round());
                    to.writeString(promised.acceptedAt().voter());
                    CopyCodec.layout(to, promised.agreed());
                    to.writeBoolean(promised.accepted() != null);
                    if (promised.accepted() != null) {
                        CopyCodec.layout(to, promised.accepted());
                    }
                });
    }
}

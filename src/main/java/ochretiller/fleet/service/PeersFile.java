package ochretiller.fleet.service;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Logger;
import ochretiller.fleet.membership.PeerAddress;

/**
 * Addresses of those whom a server has seen, for its next start. It is a hint: what is damaged is
 * passed over, and written anew.
 */
final class PeersFile {
    private static final Logger LOG = Logger.getLogger(PeersFile.class.getName());

    private final Path file;
    private final SealedFile sealed;
    private final BackgroundWriter writes = new BackgroundWriter("peers", 1);
    private volatile boolean sick;

    PeersFile(Path file) {
        this.file = file;
        this.sealed = new SealedFile(file);
    }

    List<PeerAddress> read() {
        try {
            List<PeerAddress> all =
                    sealed.read(in -> in.readTexts().stream().map(PeerAddress::parse).toList())
                            .orElse(List.of());
            return all;
        } catch (IOException e) {
            LOG.warning(
                    () ->
                            "fleet: whom this server knew cannot be read from "
                                    + file
                                    + ", it asks its seeds alone: "
                                    + (e instanceof CorruptFileException
                                            ? "damaged"
                                            : e.getMessage()));
            return List.of();
        }
    }

    /**
     * Kept in the background; where the last one is still being written, this one is not: there
     * will be another.
     */
    void write(List<PeerAddress> all) {
        writes.submit(
                () -> {
                    try {
                        sealed.write(
                                to -> {
                                    to.writeStartArray();
                                    for (PeerAddress each : all) {
                                        to.writeString(each.toString());
                                    }
                                    to.writeEndArray();
                                });
                        sick = false;
                    } catch (IOException e) {
                        if (!sick) {
                            LOG.warning(
                                    "fleet: whom this server sees cannot be kept in "
                                            + file
                                            + ": "
                                            + e.getMessage());
                        }
                        sick = true;
                    }
                });
    }

    void close() {
        writes.close();
    }
}

package ochretiller.fleet.service;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Logger;
import ochretiller.fleet.membership.PeerAddress;

/**
 * Stores the addresses of known peers for the next start of this server. The content is only a
 * hint, so an unreadable file is ignored and overwritten later.
 *
 * <p>Reading blocks on the disk; files are written on a thread named {@code peers}.
 */
final class PeersFile {
    private static final Logger LOG = Logger.getLogger(PeersFile.class.getName());

    private final Path file;
    private final ChecksummedFile checksummedFile;
    private final BackgroundWriter writer = new BackgroundWriter("peers", 1);
    private volatile boolean lastWriteFailed;

    PeersFile(Path file) {
        this.file = file;
        this.checksummedFile = new ChecksummedFile(file);
    }

    List<PeerAddress> read() {
        try {
            List<PeerAddress> addresses =
                    checksummedFile
                            .read(in -> in.readTexts().stream().map(PeerAddress::parse).toList())
                            .orElse(List.of());
            return addresses;
        } catch (IOException e) {
            LOG.warning(
                    () ->
                            "fleet: cannot read the known peers from "
                                    + file
                                    + ", using only the configured seeds: "
                                    + (e instanceof CorruptFileException
                                            ? "the file is corrupt"
                                            : e.getMessage()));
            return List.of();
        }
    }

    /** Writes the list in the background; dropped if a write is waiting, as later ones follow. */
    void write(List<PeerAddress> addresses) {
        writer.submit(
                () -> {
                    try {
                        checksummedFile.write(
                                out -> {
                                    out.writeStartArray();
                                    for (PeerAddress each : addresses) {
                                        out.writeString(each.toString());
                                    }
                                    out.writeEndArray();
                                });
                        lastWriteFailed = false;
                    } catch (IOException e) {
                        if (!lastWriteFailed) {
                            LOG.warning(
                                    "fleet: cannot write the known peers to "
                                            + file
                                            + ": "
                                            + e.getMessage());
                        }
                        lastWriteFailed = true;
                    }
                });
    }

    void close() {
        writer.close();
    }
}

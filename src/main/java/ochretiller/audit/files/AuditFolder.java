package ochretiller.audit.files;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import ochretiller.audit.Chain;
import ochretiller.audit.Entry;

/** Reads an audit's files, whoever's they are; nothing is changed by it. */
public final class AuditFolder {
    static final String PREFIX = "audit-";
    static final String SUFFIX = ".log";

    /** Bytes before a record's own: its length, its number, the hash before it and its own. */
    static final int HEAD = 4 + 8 + 2 * Chain.HASH;

    /** Longest record, in bytes: a span of all operations that are told apart. */
    static final int LONGEST = 64 * 1024;

    private AuditFolder() {}

    /**
     * What was found.
     *
     * @param links records, oldest first
     * @param faults of files and of the chain
     * @param lastEnd where the last whole record of the last file ends
     */
    public record Found(List<Chain.Link> links, List<Chain.Fault> faults, long lastEnd) {
        /**
         * The records that can be read; those that cannot are among the faults of {@link
         * AuditFolder#read}.
         */
        public List<Entry> entries() {
            List<Entry> all = new ArrayList<>();
            for (Chain.Link each : links) {
                try {
                    if (each.whole()) {
                        all.add(AuditCodec.entry(each.body()));
                    }
                } catch (IllegalArgumentException e) {
                    // it is told as a fault
                }
            }
            return all;
        }

        public Chain.Head head() {
            return Chain.behind(links.isEmpty() ? null : links.get(links.size() - 1)).head();
        }
    }

    /** The files, oldest first. */
    static List<Path> files(Path folder) throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.filter(
                            each ->
                                    each.getFileName().toString().startsWith(PREFIX)
                                            && each.getFileName().toString().endsWith(SUFFIX))
                    .sorted()
                    .toList();
        } catch (NoSuchFileException e) {
            return List.of();
        }
    }

    /**
     * Reads all of it and holds it against itself and what others know.
     *
     * @param known heads of this chain that others were told of
     */
    public static Found read(Path folder, List<Chain.Head> known) throws IOException {
        List<Chain.Link> links = new ArrayList<>();
        List<Chain.Fault> faults = new ArrayList<>();
        List<Path> files = files(folder);
        long end = 0;
        for (Path file : files) {
            boolean last = file.equals(files.get(files.size() - 1));
            ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
            end = 0;
            while (bytes.hasRemaining()) {
                Chain.Link link = link(bytes);
                if (link == null) {
                    // What a crash has cut off at the end was never told to anybody as kept;
                    // anywhere else it is a fault.
                    long number = links.isEmpty() ? 1 : links.get(links.size() - 1).number() + 1;
                    faults.add(
                            new Chain.Fault(
                                    number,
                                    file.getFileName()
                                            + (last
                                                    ? " ends in the midst of a record, at byte "
                                                    : " is damaged from byte ")
                                            + end));
                    break;
                }
                links.add(link);
                end = bytes.position();
            }
        }
        faults.addAll(Chain.verify(links, known));
        for (Chain.Link each : links) {
            if (!each.whole()) {
                continue;
            }
            try {
                AuditCodec.entry(each.body());
            } catch (IllegalArgumentException e) {
                faults.add(new Chain.Fault(each.number(), e.getMessage()));
            }
        }
        return new Found(links, faults, end);
    }

    private static Chain.Link link(ByteBuffer bytes) {
        if (bytes.remaining() < HEAD) {
            return null;
        }
        int length = bytes.getInt(bytes.position());
        if (length < 0 || length > LONGEST || bytes.remaining() < HEAD + length) {
            return null;
        }
        bytes.getInt();
        long number = bytes.getLong();
        byte[] before = new byte[Chain.HASH];
        byte[] hash = new byte[Chain.HASH];
        byte[] body = new byte[length];
        bytes.get(before).get(hash).get(body);
        return new Chain.Link(number, before, hash, body);
    }

    static byte[] frame(Chain.Link link) {
        return ByteBuffer.allocate(HEAD + link.body().length)
                .putInt(link.body().length)
                .putLong(link.number())
                .put(link.before())
                .put(link.hash())
                .put(link.body())
                .array();
    }
}

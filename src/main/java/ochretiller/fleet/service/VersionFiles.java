package ochretiller.fleet.service;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.logging.Logger;
import ochretiller.collections.BoundedMap;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.transport.PlacementCodec;
import ochretiller.net.Scheduler;

/**
 * Stores the bytes of the most recently used versions, in memory and in files, and the description
 * of the active version in a file of its own. Files of versions are named by the SHA-256 of their
 * bytes.
 *
 * <p>Confined to the event loop; files are written on a thread named {@code versions}.
 */
final class VersionFiles {
    private static final Logger LOG = Logger.getLogger(RolloutService.class.getName());

    /** Maximum number of versions whose bytes are cached. */
    static final int MAX_CACHED_VERSIONS = 8;

    private static final int MAX_QUEUED_WRITES = 16;
    private static final String SUFFIX = ".version";

    private final Path directory;
    private final Scheduler scheduler;
    private final ChecksummedFile activeFile;
    private final BackgroundWriter writer = new BackgroundWriter("versions", MAX_QUEUED_WRITES);
    private final Map<String, byte[]> versions =
            BoundedMap.evictingLeastRecentlyUsed(MAX_CACHED_VERSIONS);

    VersionFiles(Path directory, Scheduler scheduler) {
        this.directory = directory;
        this.scheduler = scheduler;
        this.activeFile = new ChecksummedFile(directory.resolve("acting"));
    }

    /** Returns the SHA-256 of a version in hex. */
    static String hashOf(byte[] version) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(version));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this JDK", e);
        }
    }

    /**
     * Loads all versions that a previous process stored. This includes versions that this server
     * has not activated, since other servers may request them.
     *
     * @return the version that was active last, or empty if none is recorded
     */
    Optional<PublishedVersion> load() throws IOException {
        Files.createDirectories(directory);
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, "*" + SUFFIX)) {
            for (Path file : files) {
                loadVersion(file);
            }
        }
        return activeFile.read(PlacementCodec::readVersion);
    }

    private void loadVersion(Path file) throws IOException {
        boolean isTooLong = Files.size(file) > PublishedVersion.MAX_BYTES;
        byte[] version = isTooLong ? new byte[0] : Files.readAllBytes(file);
        String hash = hashOf(version);
        if (file.equals(fileOf(hash))) {
            versions.put(hash, version);
        }
    }

    private Path fileOf(String hash) {
        return directory.resolve(hash + SUFFIX);
    }

    /** Returns the bytes of a version, or empty if they are not cached. */
    Optional<byte[]> find(String hash) {
        return Optional.ofNullable(versions.get(hash));
    }

    /**
     * Caches a version and writes it to its file in the background. Then deletes the files of
     * versions that are no longer cached, except for the active one.
     *
     * @param completion run on the event loop once the version is durable
     */
    void store(String hash, byte[] version, String activeHash, Runnable completion) {
        versions.put(hash, version);
        Set<String> neededHashes = new HashSet<>(versions.keySet());
        neededHashes.add(activeHash);
        writer.submit(
                () -> {
                    try {
                        ChecksummedFile.replaceAtomically(fileOf(hash), version);
                        scheduler.post(completion);
                        deleteOthers(neededHashes);
                    } catch (IOException e) {
                        LOG.warning("fleet: cannot write version " + hash + ": " + e.getMessage());
                    }
                });
    }

    private void deleteOthers(Set<String> neededHashes) throws IOException {
        String glob = "*" + SUFFIX + "{,.tmp}";
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, glob)) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                String hash = name.substring(0, name.length() - SUFFIX.length());
                if (!neededHashes.contains(hash)) {
                    Files.deleteIfExists(file);
                }
            }
        }
    }

    /** Writes the description of the active version in the background. */
    void storeActive(PublishedVersion active) {
        writer.submit(
                () -> {
                    try {
                        activeFile.write(out -> PlacementCodec.writeVersion(out, active));
                    } catch (IOException e) {
                        LOG.warning(
                                "fleet: cannot record version "
                                        + active.number()
                                        + " as active: "
                                        + e.getMessage());
                    }
                });
    }

    /** Stops the writer thread after it has completed queued writes. */
    void close() {
        writer.close();
    }
}

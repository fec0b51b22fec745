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
 * The last versions that this server has the bytes of, in memory and in files, and a file with the
 * description of the version in use. Versions are named by the SHA-256 of their bytes.
 *
 * <p>Used on the event loop; files are written on a thread named {@code versions}.
 */
final class VersionFiles {
    private static final Logger LOG = Logger.getLogger(RolloutService.class.getName());

    /** Versions whose bytes are cached. */
    static final int MAX_CACHED_VERSIONS = 8;

    private static final int MAX_QUEUED_WRITES = 16;
    private static final String SUFFIX = ".version";

    private final Path directory;
    private final Scheduler scheduler;
    private final SealedFile activeFile;
    private final BackgroundWriter writer = new BackgroundWriter("versions", MAX_QUEUED_WRITES);
    private final Map<String, byte[]> versions =
            BoundedMap.evictingLeastRecentlyUsed(MAX_CACHED_VERSIONS);

    VersionFiles(Path directory, Scheduler scheduler) {
        this.directory = directory;
        this.scheduler = scheduler;
        this.activeFile = new SealedFile(directory.resolve("acting"));
    }

    /** Returns the SHA-256 of a version in hex. */
    static String hashOf(byte[] version) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(version));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each JDK has SHA-256", e);
        }
    }

    /**
     * Reads all versions that a previous process has left, also those that this server has not put
     * into use: others may need them.
     *
     * @return the version that was in use, or nothing
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

    /** Returns the bytes of a version, or nothing if they are not here. */
    Optional<byte[]> find(String hash) {
        return Optional.ofNullable(versions.get(hash));
    }

    /**
     * Caches a version and writes it to its file; files of versions that are no longer cached are
     * deleted, except for the one in use.
     *
     * @param completion is run on the event loop once the version is durable
     */
    void store(String hash, byte[] version, String activeHash, Runnable completion) {
        versions.put(hash, version);
        Set<String> neededHashes = new HashSet<>(versions.keySet());
        neededHashes.add(activeHash);
        writer.submit(
                () -> {
                    try {
                        SealedFile.replaceAtomically(fileOf(hash), version);
                        scheduler.post(completion);
                        deleteOthers(neededHashes);
                    } catch (IOException e) {
                        LOG.warning("fleet: a version's bytes cannot be kept: " + e.getMessage());
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

    /** Writes the description of the version in use, in the background. */
    void storeActive(PublishedVersion active) {
        writer.submit(
                () -> {
                    try {
                        activeFile.write(out -> PlacementCodec.writeVersion(out, active));
                    } catch (IOException e) {
                        LOG.warning(
                                "fleet: what version is acted on cannot be kept: "
                                        + e.getMessage());
                    }
                });
    }

    /** Writes what is queued and ends the writing thread. */
    void close() {
        writer.close();
    }
}

package ochretiller.fleet.consensus;

/**
 * A version of what servers act on: its bytes are known by their hash and are distributed apart.
 *
 * @param number grows by one from version to version; 0 if none was ever published
 * @param hash SHA-256 of its bytes, in hexadecimal; empty if each server acts on its own files
 * @param sizeBytes of its content
 * @param minimumBuild the lowest build that can act on it; empty for any
 * @param publisher who published it
 * @param reason why
 */
public record PublishedVersion(
        long number,
        String hash,
        int sizeBytes,
        String minimumBuild,
        String publisher,
        String reason) {
    /** Before any version is published: each server acts on its own files. */
    public static final PublishedVersion NONE = new PublishedVersion(0, "", 0, "", "", "");

    /** Characters of a hash. */
    public static final int HASH_LENGTH = 64;

    /** Longest build, publisher or reason in characters. */
    public static final int MAX_TEXT_LENGTH = 120;

    /** Largest content in bytes: what goes with one command to the admin endpoint. */
    public static final int MAX_BYTES = 48 * 1024;

    /**
     * Guards against a peer that sends what no version can be.
     *
     * @throws IllegalArgumentException if a number is out of bounds or a text is too long
     */
    public PublishedVersion {
        boolean hasNoContent = hash.isEmpty() && sizeBytes == 0;
        boolean hasContent =
                number > 0
                        && hash.length() == HASH_LENGTH
                        && sizeBytes > 0
                        && sizeBytes <= MAX_BYTES;
        if (number < 0 || !hasNoContent && !hasContent) {
            throw new IllegalArgumentException("no version");
        }
        if (isTooLong(minimumBuild) || isTooLong(publisher) || isTooLong(reason)) {
            throw new IllegalArgumentException("too long");
        }
    }

    private static boolean isTooLong(String text) {
        return text.length() > MAX_TEXT_LENGTH;
    }

    /** Whether each server acts on its own files. */
    public boolean usesLocalFiles() {
        return hash.isEmpty();
    }

    /** The same content as a version of its own. */
    PublishedVersion republishedAs(long nextNumber, String nextPublisher, String nextReason) {
        return new PublishedVersion(
                nextNumber, hash, sizeBytes, minimumBuild, nextPublisher, nextReason);
    }
}

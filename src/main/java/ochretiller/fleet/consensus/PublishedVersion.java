package ochretiller.fleet.consensus;

/**
 * A published version of the servers' configuration. Its content is identified by a hash and
 * distributed separately.
 *
 * @param number the version number, which increases by one; 0 if none has been published
 * @param hash the SHA-256 of the content, in hexadecimal; empty if servers use their own files
 * @param sizeBytes the size of the content; 0 if servers use their own files
 * @param minimumBuild the lowest build that supports the version; empty for any
 * @param publisher the person who published the version
 * @param reason the publisher's reason
 */
public record PublishedVersion(
        long number,
        String hash,
        int sizeBytes,
        String minimumBuild,
        String publisher,
        String reason) {
    /** No version has been published: each server uses its own files. */
    public static final PublishedVersion NONE = new PublishedVersion(0, "", 0, "", "", "");

    /** Length of a hash in characters. */
    public static final int HASH_LENGTH = 64;

    /** Maximum length of a build, publisher or reason, in characters. */
    public static final int MAX_TEXT_LENGTH = 120;

    /** Maximum content in bytes, which fits one command to the admin endpoint. */
    public static final int MAX_BYTES = 48 * 1024;

    /**
     * Validates the version, since a peer may send anything.
     *
     * @throws IllegalArgumentException if number, hash or size is invalid or a text too long
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

    /** Whether each server uses its own files. */
    public boolean usesLocalFiles() {
        return hash.isEmpty();
    }

    /** Returns a new version with the same content. */
    PublishedVersion republishedAs(long nextNumber, String nextPublisher, String nextReason) {
        return new PublishedVersion(
                nextNumber, hash, sizeBytes, minimumBuild, nextPublisher, nextReason);
    }
}

package ochretiller.idempotency;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * The body of an original attempt, or its digest, to check whether a repeat under the same key is
 * the same request.
 */
sealed interface RequestBody {
    /**
     * Returns whether a repeat with this body is the same request; always true for {@link
     * NotCompared}.
     */
    boolean matches(byte[] other);

    /** Bytes that count towards the cache's size limit. */
    int sizeBytes();

    /** The complete body. */
    record Full(byte[] body) implements RequestBody {
        @Override
        public boolean matches(byte[] other) {
            return Arrays.equals(body, other);
        }

        @Override
        public int sizeBytes() {
            return body.length;
        }
    }

    /** The SHA-256 of a body that a previous process received. */
    record Digest(byte[] digest) implements RequestBody {
        @Override
        public boolean matches(byte[] other) {
            return Arrays.equals(digest, sha256(other));
        }

        @Override
        public int sizeBytes() {
            return 0; // included in the fixed overhead of each entry
        }
    }

    /** The body of a read, which is not compared because the key identifies the request. */
    record NotCompared() implements RequestBody {
        @Override
        public boolean matches(byte[] other) {
            return true;
        }

        @Override
        public int sizeBytes() {
            return 0;
        }
    }

    /** Returns the SHA-256 of a body. */
    static byte[] sha256(byte[] body) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(body);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java platform lacks SHA-256", e);
        }
    }
}

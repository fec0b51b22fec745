package ochretiller.idempotency;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * What is known of the body of an original attempt, to tell whether another body under the same key
 * is the same request.
 */
sealed interface RequestBody {
    /** Whether a repeat with this body asks for the same; true where nothing is known. */
    boolean matches(byte[] other);

    /** Bytes that count against the cache's bound. */
    int sizeBytes();

    /** The body itself. */
    record Known(byte[] body) implements RequestBody {
        @Override
        public boolean matches(byte[] other) {
            return Arrays.equals(body, other);
        }

        @Override
        public int sizeBytes() {
            return body.length;
        }
    }

    /** The SHA-256 of a body that a previous process has read. */
    record Digested(byte[] digest) implements RequestBody {
        @Override
        public boolean matches(byte[] other) {
            return Arrays.equals(digest, sha256(other));
        }

        @Override
        public int sizeBytes() {
            return 0; // part of what is counted for every entry
        }
    }

    /** A read, whose key says all that it asks for. */
    record Irrelevant() implements RequestBody {
        @Override
        public boolean matches(byte[] other) {
            return true;
        }

        @Override
        public int sizeBytes() {
            return 0;
        }
    }

    /** SHA-256 of a body. */
    static byte[] sha256(byte[] body) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(body);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

package ochretiller.fleet.service;

import java.util.HexFormat;

/** Identifies a request's content in claims and outcomes by its operation and its body's hash. */
final class RequestFingerprint {
    private static final char SEPARATOR = ' ';

    private RequestFingerprint() {}

    static String of(String operation, byte[] bodyHash) {
        return operation + SEPARATOR + HexFormat.of().formatHex(bodyHash);
    }

    /** Returns the operation, or an empty string if the fingerprint has none. */
    static String operationOf(String fingerprint) {
        int end = fingerprint.lastIndexOf(SEPARATOR);
        return end < 0 ? "" : fingerprint.substring(0, end);
    }
}

package ochretiller.fleet.service;

import java.util.HexFormat;

/** The text by which claims tell whether two requests ask for the same: operation and body hash. */
final class RequestFingerprint {
    private static final char SEPARATOR = ' ';

    private RequestFingerprint() {}

    static String of(String operation, byte[] bodyHash) {
        return operation + SEPARATOR + HexFormat.of().formatHex(bodyHash);
    }

    /** Returns the operation, or an empty text if the fingerprint has none. */
    static String operationOf(String fingerprint) {
        int end = fingerprint.lastIndexOf(SEPARATOR);
        return end < 0 ? "" : fingerprint.substring(0, end);
    }
}

package ochretiller.fleet.service;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.replication.ClaimOutcome;
import ochretiller.fleet.replication.CompletedClaim;

/** Converts results of runs to the outcomes that are replicated. */
final class ClaimOutcomes {
    private ClaimOutcomes() {}

    /**
     * Returns the outcome of a run. A result that is too long to be replicated counts as a failure:
     * retries at other servers are answered with an error and never run.
     *
     * @param result empty if the run did not succeed
     */
    static ClaimOutcome of(String fingerprint, Optional<byte[]> result) {
        if (result.isEmpty() || result.get().length > ClaimOutcome.MAX_RESULT_BYTES) {
            return new ClaimOutcome(false, fingerprint, "");
        }
        String text = textOf(result.get());
        return text.length() > ClaimOutcome.MAX_INLINE_BYTES
                ? ClaimOutcome.chunked(fingerprint, text)
                : new ClaimOutcome(true, fingerprint, text);
    }

    /** Returns the completed claim of a run that has ended. */
    static CompletedClaim completedClaim(
            ClaimId claimId,
            String fingerprint,
            Optional<byte[]> result,
            Duration deadline,
            Duration windowEnd) {
        ClaimOutcome outcome = of(fingerprint, result);
        Optional<String> chunkedResult =
                outcome.isChunked() ? result.map(ClaimOutcomes::textOf) : Optional.empty();
        return new CompletedClaim(claimId, outcome, chunkedResult, deadline, windowEnd);
    }

    /** Returns a string with one character per byte. */
    static String textOf(byte[] result) {
        return new String(result, StandardCharsets.ISO_8859_1);
    }
}

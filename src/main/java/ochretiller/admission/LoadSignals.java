package ochretiller.admission;

/**
 * The parts of a controller that notice overload and tell clients of it.
 *
 * @param overload read backlog and stalls
 * @param retryAfter when rejected clients should come back
 * @param retryElsewhere whether they should try another server at once
 * @param advertiser what is advertised unasked
 */
record LoadSignals(
        OverloadDetector overload,
        RetryAfterPolicy retryAfter,
        RetryElsewherePolicy retryElsewhere,
        BackpressureAdvertiser advertiser) {}

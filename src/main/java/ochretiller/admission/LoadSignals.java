package ochretiller.admission;

/**
 * The parts of a controller that detect overload and report it to clients.
 *
 * @param overload detects read backlogs and stalls
 * @param retryAfter determines when rejected clients should retry
 * @param retryElsewhere determines whether they should try another server at once
 * @param advertiser publishes health, capacity and idle timeout every tick
 */
record LoadSignals(
        OverloadDetector overload,
        RetryAfterPolicy retryAfter,
        RetryElsewherePolicy retryElsewhere,
        BackpressureAdvertiser advertiser) {}

package ochretiller.admission;

import static ochretiller.admission.AdmissionFixture.SECOND;

import java.time.Duration;
import ochretiller.model.Operation;
import ochretiller.model.SideEffect;

/** Sample operations for the admission tests. */
final class SampleOperations {
    /** An idempotent operation. */
    static final Operation READ =
            new Operation(
                    "read",
                    SideEffect.IDEMPOTENT,
                    SECOND.multipliedBy(2),
                    SECOND.multipliedBy(4),
                    1,
                    0,
                    Duration.ZERO,
                    false,
                    0);

    /** A keyed operation that makes downstream calls and has three times the billed value. */
    static final Operation ORDER =
            new Operation(
                    "order",
                    SideEffect.KEYED,
                    SECOND.multipliedBy(2),
                    SECOND.multipliedBy(4),
                    3,
                    0,
                    SECOND.multipliedBy(10),
                    true,
                    0);

    /** An idempotent operation with a short objective that makes downstream calls. */
    static final Operation LOOKUP =
            new Operation(
                    "lookup",
                    SideEffect.IDEMPOTENT,
                    SECOND,
                    SECOND.multipliedBy(4),
                    1,
                    0,
                    Duration.ZERO,
                    true,
                    0);

    /** An idempotent operation whose objective, and so its prior estimate, is four times READ's. */
    static final Operation REPORT =
            new Operation(
                    "report",
                    SideEffect.IDEMPOTENT,
                    SECOND.multipliedBy(8),
                    SECOND.multipliedBy(9),
                    1,
                    0,
                    Duration.ZERO,
                    false,
                    0);

    private SampleOperations() {}
}

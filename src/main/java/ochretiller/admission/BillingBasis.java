package ochretiller.admission;

/** Basis on which the billed value of an operation is paid. */
public enum BillingBasis {
    /** The value is paid for each invocation, regardless of its work. */
    PER_REQUEST,
    /** The value is paid for each unit of work. */
    PER_UNIT_OF_WORK
}

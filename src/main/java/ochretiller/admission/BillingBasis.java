package ochretiller.admission;

/** What the billed value of an operation is paid for. */
public enum BillingBasis {
    /** The value is paid for each invocation, however much work it takes. */
    PER_REQUEST,
    /** The value is paid for each unit of work. */
    PER_UNIT_OF_WORK
}

package ochretiller.admission;

/**
 * The parts of a controller that hold what is open and what was learned.
 *
 * @param registry all invocations that are not over
 * @param queue those that wait for a slot
 * @param idempotency the keyed attempts
 * @param costs what invocations are expected to cost
 * @param quotas what tenants have sent
 */
record AdmissionState(
        InvocationRegistry registry,
        AdmissionQueue queue,
        IdempotencyTable idempotency,
        CostEstimator costs,
        QuotaTracker quotas) {}

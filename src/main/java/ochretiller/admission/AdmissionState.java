package ochretiller.admission;

/**
 * The parts of a controller that hold its open invocations and its measurements.
 *
 * @param registry all open invocations
 * @param queue admitted invocations that wait for a slot
 * @param idempotency entries of the keyed attempts
 * @param costs estimated costs of invocations
 * @param quotas recent usage of the tenants' quotas
 */
record AdmissionState(
        InvocationRegistry registry,
        AdmissionQueue queue,
        IdempotencyTable idempotency,
        CostEstimator costs,
        QuotaTracker quotas) {}

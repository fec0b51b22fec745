package ochretiller.fleet.service;

import ochretiller.metrics.Metrics;

/** Counters of claims and their outcomes. Incremented on the event loop. */
final class ClaimMetrics {
    final Metrics.Counter requested;
    final Metrics.Counter granted;
    final Metrics.Counter replayed;
    final Metrics.Counter throttled;
    final Metrics.Counter outcomeUnknown;
    final Metrics.Counter transitional;
    final Metrics.Counter outcomesNotStored;
    final Metrics.Counter previousNeverRan;
    final Metrics.Counter previousCompleted;

    ClaimMetrics(Metrics metrics) {
        requested =
                metrics.counter(
                        "fleet_claims_total", "Tokened invocations whose claim was asked for");
        granted =
                metrics.counter(
                        "fleet_claims_granted_total", "Claims that a majority of keepers granted");
        replayed =
                metrics.counter(
                        "fleet_claims_replayed_total",
                        "Repeats that were answered with a result from the fleet");
        throttled =
                metrics.counter(
                        "fleet_claims_throttled_total",
                        "Claims without a majority, which were not run");
        outcomeUnknown =
                metrics.counter(
                        "fleet_claims_unknown_total",
                        "Repeats of what another has claimed and nobody knows the end of");
        transitional =
                metrics.counter(
                        "fleet_claims_still_total",
                        "Claims of operations in server mode, as long as others may have claimed"
                                + " their tokens for the fleet");
        outcomesNotStored =
                metrics.counter(
                        "fleet_ends_unkept_total",
                        "Ends that no majority had kept when their answer was due");
        previousNeverRan =
                metrics.counter(
                        "fleet_former_never_ran_total",
                        "Claims of a former process of this server that it could prove never to"
                                + " have run");
        previousCompleted =
                metrics.counter(
                        "fleet_former_ends_total",
                        "Claims of a former process of this server whose ends it could tell");
    }
}

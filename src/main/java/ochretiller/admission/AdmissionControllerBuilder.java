package ochretiller.admission;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import ochretiller.model.CapacityAdvertisement;
import ochretiller.model.Tenant;

/**
 * Builds an {@link AdmissionController}. The defaults are one warm core, without tenants,
 * advertised capacity or limits other than the cores. Memory is in kilobytes. Not thread-safe.
 */
public final class AdmissionControllerBuilder {
    private int cores = 1;
    private double survivableConcurrencyMultiple = 1;
    private SlowStart slowStart = SlowStart.NONE;
    private boolean canCancelRuns;
    private double memoryKb = Double.MAX_VALUE;
    private double runMemoryFactor = 1;
    private double idempotencyEntryKb;
    private List<Tenant> tenants = List.of();
    private int servers = 1;
    private double overQuotaWeight = 1;
    private BillingBasis billingBasis = BillingBasis.PER_REQUEST;
    private double downstreamCallShare = Double.MAX_VALUE;
    private Duration serviceTimeAfterTimeout = Duration.ZERO;
    private Duration callAveragingPeriod = Duration.ofSeconds(1);
    private Duration gracePeriod = Duration.ZERO;
    private CapacityAdvertisement advertisement = CapacityAdvertisement.NONE;
    private int clients = 1;
    private Duration longestRetryAfter = Duration.ZERO;
    private Duration longestIdleTimeout = Duration.ZERO;

    AdmissionControllerBuilder() {}

    /** Sets the number of cores of the server. */
    public AdmissionControllerBuilder cores(int cores) {
        this.cores = cores;
        return this;
    }

    /** Sets how many concurrent runs per core the server survives once it is warm. */
    public AdmissionControllerBuilder survivableConcurrencyMultiple(double multiple) {
        this.survivableConcurrencyMultiple = multiple;
        return this;
    }

    /** Sets the speed of the server during warm-up. */
    public AdmissionControllerBuilder slowStart(SlowStart slowStart) {
        this.slowStart = slowStart;
        return this;
    }

    /** Sets whether the host can cancel a run. */
    public AdmissionControllerBuilder canCancelRuns(boolean canCancelRuns) {
        this.canCancelRuns = canCancelRuns;
        return this;
    }

    /** Sets the memory of the server, in kilobytes. */
    public AdmissionControllerBuilder memoryKb(double memoryKb) {
        this.memoryKb = memoryKb;
        return this;
    }

    /** Sets the memory of a running invocation, as a multiple of its memory while queued. */
    public AdmissionControllerBuilder runMemoryFactor(double factor) {
        this.runMemoryFactor = factor;
        return this;
    }

    /** Sets the memory of one idempotency entry, in kilobytes. */
    public AdmissionControllerBuilder idempotencyEntryKb(double entryKb) {
        this.idempotencyEntryKb = entryKb;
        return this;
    }

    /** Sets the tenants, with their shares and quotas. */
    public AdmissionControllerBuilder tenants(List<Tenant> tenants) {
        this.tenants = List.copyOf(tenants);
        return this;
    }

    /** Sets the number of servers in the fleet, by which quotas are divided. */
    public AdmissionControllerBuilder servers(int servers) {
        this.servers = servers;
        return this;
    }

    /** Sets the factor, 0 to 1, on the billed value of invocations over quota. */
    public AdmissionControllerBuilder overQuotaWeight(double weight) {
        this.overQuotaWeight = weight;
        return this;
    }

    /** Sets whether the billed value is paid per request or per unit of work. */
    public AdmissionControllerBuilder billingBasis(BillingBasis billingBasis) {
        this.billingBasis = billingBasis;
        return this;
    }

    /** Sets this server's share, in calls in flight, of what the downstream service survives. */
    public AdmissionControllerBuilder downstreamCallShare(double calls) {
        this.downstreamCallShare = calls;
        return this;
    }

    /** Sets how long the downstream service continues a call that timed out here. */
    public AdmissionControllerBuilder serviceTimeAfterTimeout(Duration duration) {
        this.serviceTimeAfterTimeout = duration;
        return this;
    }

    /** Sets the period over which the downstream service averages its calls in flight. */
    public AdmissionControllerBuilder callAveragingPeriod(Duration period) {
        this.callAveragingPeriod = period;
        return this;
    }

    /** Sets how long after a shutdown notice new arrivals may still run. */
    public AdmissionControllerBuilder gracePeriod(Duration gracePeriod) {
        this.gracePeriod = gracePeriod;
        return this;
    }

    /** Sets how clients interpret the advertised capacity. */
    public AdmissionControllerBuilder advertisement(CapacityAdvertisement advertisement) {
        this.advertisement = advertisement;
        return this;
    }

    /** Sets the number of clients, by which an advertised window is divided. */
    public AdmissionControllerBuilder clients(int clients) {
        this.clients = clients;
        return this;
    }

    /** Sets the longest Retry-After that clients respect; zero if they are sent none. */
    public AdmissionControllerBuilder longestRetryAfter(Duration longest) {
        this.longestRetryAfter = longest;
        return this;
    }

    /** Sets the longest idle timeout of connections; zero if none is configured. */
    public AdmissionControllerBuilder longestIdleTimeout(Duration longest) {
        this.longestIdleTimeout = longest;
        return this;
    }

    /**
     * Builds a controller.
     *
     * @param random source of randomness for its decisions; the controller retains it
     */
    public AdmissionController build(SplittableRandom random) {
        MemoryBudget memory = new MemoryBudget(memoryKb, runMemoryFactor);
        InvocationRegistry registry = new InvocationRegistry(memory);
        return new AdmissionController(
                buildState(registry), buildLimits(registry, memory), buildSignals(random));
    }

    private AdmissionState buildState(InvocationRegistry registry) {
        CostEstimator costs = new CostEstimator();
        EvictionPolicy eviction = new EvictionPolicy(tenants);
        AdmissionQueue queue =
                new AdmissionQueue(
                        new QueueOrder(costs, billingBasis),
                        eviction,
                        new FeasibilityCheck(costs, eviction));
        IdempotencyTable idempotency = new IdempotencyTable(idempotencyEntryKb, memoryKb);
        QuotaTracker quotas = new QuotaTracker(tenants, servers, overQuotaWeight);
        return new AdmissionState(registry, queue, idempotency, costs, quotas);
    }

    private CapacityLimits buildLimits(InvocationRegistry registry, MemoryBudget memory) {
        ConcurrencyLimiter concurrency =
                new ConcurrencyLimiter(cores, survivableConcurrencyMultiple, slowStart);
        DownstreamCallLimiter calls =
                new DownstreamCallLimiter(
                        downstreamCallShare, cores, serviceTimeAfterTimeout, callAveragingPeriod);
        return new CapacityLimits(
                new ExecutionSlots(concurrency, registry),
                concurrency,
                calls,
                memory,
                new DrainState(gracePeriod),
                new RunCancellation(canCancelRuns));
    }

    private LoadSignals buildSignals(SplittableRandom random) {
        OverloadDetector overload = new OverloadDetector();
        BackpressureAdvertiser advertiser =
                new BackpressureAdvertiser(
                        new AdvertisedCapacity(advertisement, clients, cores),
                        new IdleTimeoutPolicy(cores, longestIdleTimeout),
                        overload);
        return new LoadSignals(
                overload,
                new RetryAfterPolicy(longestRetryAfter, random),
                new RetryElsewherePolicy(random),
                advertiser);
    }
}

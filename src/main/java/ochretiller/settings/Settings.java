package ochretiller.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import ochretiller.admission.AdmissionController;
import ochretiller.admission.BillingBasis;
import ochretiller.admission.SlowStart;
import ochretiller.model.CapacityAdvertisement;
import ochretiller.model.Operation;
import ochretiller.model.SideEffect;
import ochretiller.model.Tenant;
import ochretiller.model.TenantId;

/**
 * Decodes the startup settings of a server into the operations that it serves and its admission
 * controller. Durations are given in nanoseconds, memory in kilobytes. A malformed setting causes a
 * {@link MalformedException} that names it.
 */
public final class Settings {
    /** Value of an item that is missing from a comma-separated list. */
    private static final String MISSING_ITEM = "0";

    private Settings() {}

    /** Returns the operations by name, in the order in which the settings list them. */
    public static Map<String, Operation> operations(SettingLookup settings) {
        Map<String, Operation> operations = new LinkedHashMap<>();
        for (int i = 0; i < settings.wholeNumber("classes.count", 0); i++) {
            Operation operation = operation(settings, i);
            operations.put(operation.name(), operation);
        }
        return operations;
    }

    private static Operation operation(SettingLookup settings, int index) {
        String prefix = "classes." + index + ".";
        SideEffect sideEffect = sideEffect(settings.text(prefix + "effect"));
        Duration clientTimeout =
                settings.duration(
                        prefix + "giveUpNs",
                        Duration.ofNanos(settings.wholeNumber(prefix + "aimNs")));
        Duration latencyObjective = settings.duration(prefix + "aimNs", clientTimeout);
        double billedValue = settings.number(prefix + "importance", 1);
        double lateValueShare = settings.number(prefix + "lateValue", 0);
        Duration deduplicationWindow = settings.duration(prefix + "windowNs", Duration.ZERO);
        boolean makesCalls = item(settings, "familyInfo.callsByClass", index).equals("true");
        double degradedValueShare =
                Double.parseDouble(item(settings, "familyInfo.degradedWorth", index));
        return new Operation(
                settings.text(prefix + "name"),
                sideEffect,
                latencyObjective,
                clientTimeout,
                billedValue,
                lateValueShare,
                deduplicationWindow,
                makesCalls,
                degradedValueShare);
    }

    /** Decodes a side effect; an unknown one is treated as one that must never be repeated. */
    private static SideEffect sideEffect(String name) {
        return switch (name) {
            case "pure" -> SideEffect.IDEMPOTENT;
            case "token" -> SideEffect.KEYED;
            default -> SideEffect.NON_IDEMPOTENT;
        };
    }

    /** Returns an item of a comma-separated list, {@code 0} if it is missing or empty. */
    private static String item(SettingLookup settings, String list, int index) {
        String[] items = settings.text(list, "").split(",");
        return index < items.length && !items[index].isEmpty() ? items[index] : MISSING_ITEM;
    }

    /**
     * Builds the admission controller of one server.
     *
     * @param settings the startup settings
     * @param random source of randomness for its decisions
     * @param isCold whether the backend that executes the runs was just started
     */
    public static AdmissionController admissionController(
            SettingLookup settings, SplittableRandom random, boolean isCold) {
        boolean canCancelRuns = !settings.text("familyInfo.halt", "silent").equals("silent");
        boolean isBilledByWork = settings.text("worthBy", "request").equals("work");
        return AdmissionController.builder()
                .cores((int) settings.wholeNumber("familyInfo.cpus"))
                .survivableConcurrencyMultiple(settings.number("guarantees.fallMultiple", 1))
                .slowStart(slowStart(settings, isCold))
                .canCancelRuns(canCancelRuns)
                .memoryKb(settings.number("familyInfo.memoryKb", Double.MAX_VALUE))
                .runMemoryFactor(settings.number("familyInfo.runFactor", 1))
                .idempotencyEntryKb(settings.number("familyInfo.keyKb", 0))
                .tenants(tenants(settings))
                .servers((int) settings.wholeNumber("peersTotal", 1))
                .overQuotaWeight(settings.number("overShareWorth", 1))
                .billingBasis(
                        isBilledByWork ? BillingBasis.PER_UNIT_OF_WORK : BillingBasis.PER_REQUEST)
                .downstreamCallShare(settings.number("familyInfo.callsOut", Double.MAX_VALUE))
                .serviceTimeAfterTimeout(settings.duration("familyInfo.staysForNs", Duration.ZERO))
                .callAveragingPeriod(
                        settings.duration("familyInfo.shareSpanNs", Duration.ofSeconds(1)))
                .gracePeriod(settings.duration("guarantees.stopSendingWithinNs", Duration.ZERO))
                .advertisement(advertisement(settings))
                .clients((int) settings.wholeNumber("familyInfo.callers", 1))
                .longestRetryAfter(longestRetryAfter(settings))
                .longestIdleTimeout(settings.duration("familyInfo.idleNs", Duration.ZERO))
                .build(random);
    }

    private static SlowStart slowStart(SettingLookup settings, boolean isCold) {
        double initialSpeed = isCold ? settings.number("guarantees.coldShare", 1) : 1;
        return new SlowStart(initialSpeed, settings.duration("guarantees.coldNs", Duration.ZERO));
    }

    private static Duration longestRetryAfter(SettingLookup settings) {
        return settings.flag("permissions.retryAfter")
                ? settings.duration("permissions.maxRetryAfterNs", Duration.ZERO)
                : Duration.ZERO;
    }

    private static CapacityAdvertisement advertisement(SettingLookup settings) {
        return switch (settings.text("familyInfo.advert", "silent")) {
            case "threshold" -> CapacityAdvertisement.PRIORITY_THRESHOLD;
            case "window" -> CapacityAdvertisement.CLIENT_WINDOW;
            case "share_of" -> CapacityAdvertisement.ROUTING_PROBABILITY;
            default -> CapacityAdvertisement.NONE;
        };
    }

    private static List<Tenant> tenants(SettingLookup settings) {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < settings.wholeNumber("tenants.count", 0); i++) {
            String prefix = "tenants." + i + ".";
            tenants.add(
                    new Tenant(
                            new TenantId(settings.text(prefix + "name")),
                            settings.number(prefix + "share", 1),
                            settings.number(prefix + "quotaPerS", Double.MAX_VALUE)));
        }
        return tenants;
    }
}

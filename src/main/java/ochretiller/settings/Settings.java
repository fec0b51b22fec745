package ochretiller.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import ochretiller.admission.AdmissionController;
import ochretiller.model.CapacityAdvertisement;
import ochretiller.model.Operation;
import ochretiller.model.SideEffect;
import ochretiller.model.Tenant;
import ochretiller.model.TenantId;

/** Decodes the settings of one start into the parts of the decisions, each with its own few. */
public final class Settings {
    private Settings() {}

    public static Map<String, Operation> operations(SettingLookup settings) {
        Map<String, Operation> operations = new LinkedHashMap<>();
        for (int i = 0; i < settings.wholeNumber("classes.count", 0); i++) {
            String at = "classes." + i + ".";
            SideEffect effect =
                    switch (settings.text(at + "effect")) {
                        case "pure" -> SideEffect.IDEMPOTENT;
                        case "token" -> SideEffect.KEYED;
                        default ->
                                SideEffect.NON_IDEMPOTENT; // an effect of a later wire is taken at
                            // its worst
                    };
            Duration timeout =
                    settings.duration(
                            at + "giveUpNs", Duration.ofNanos(settings.wholeNumber(at + "aimNs")));
            operations.put(
                    settings.text(at + "name"),
                    new Operation(
                            settings.text(at + "name"),
                            effect,
                            settings.duration(at + "aimNs", timeout),
                            timeout,
                            settings.number(at + "importance", 1),
                            settings.number(at + "lateValue", 0),
                            settings.duration(at + "windowNs", Duration.ZERO),
                            item(settings, "familyInfo.callsByClass", i).equals("true"),
                            Double.parseDouble(item(settings, "familyInfo.degradedWorth", i))));
        }
        return operations;
    }

    private static String item(SettingLookup settings, String list, int index) {
        String[] items = settings.text(list, "").split(",");
        return index < items.length && !items[index].isEmpty() ? items[index] : "0";
    }

    /** The decisions of one server; {@code cold} where what works for it has just been started. */
    public static AdmissionController admissionController(
            SettingLookup settings, SplittableRandom chance, boolean cold) {
        int cores = (int) settings.wholeNumber("familyInfo.cpus");
        int peers = (int) settings.wholeNumber("peersTotal", 1);
        double memoryKb = settings.number("familyInfo.memoryKb", Double.MAX_VALUE);
        return new AdmissionController(
                new AdmissionController.IdempotencyTable(
                        settings.number("familyInfo.keyKb", 0), memoryKb),
                new AdmissionController.ConcurrencyLimiter(
                        cores,
                        settings.number("guarantees.fallMultiple", 1),
                        cold ? settings.number("guarantees.coldShare", 1) : 1,
                        settings.duration("guarantees.coldNs", Duration.ZERO),
                        !settings.text("familyInfo.halt", "silent").equals("silent")),
                new AdmissionController.AdmissionQueue(
                        tenants(settings),
                        peers,
                        settings.number("overShareWorth", 1),
                        settings.text("worthBy", "request").equals("work")),
                new AdmissionController.DownstreamCallLimiter(
                        settings.number("familyInfo.callsOut", Double.MAX_VALUE),
                        cores,
                        settings.duration("familyInfo.staysForNs", Duration.ZERO),
                        settings.duration("familyInfo.shareSpanNs", Duration.ofSeconds(1))),
                new AdmissionController.MemoryBudget(
                        memoryKb, settings.number("familyInfo.runFactor", 1)),
                new AdmissionController.DrainState(
                        settings.duration("guarantees.stopSendingWithinNs", Duration.ZERO)),
                new AdmissionController.BackpressureAdvertiser(
                        advert(settings),
                        (int) settings.wholeNumber("familyInfo.callers", 1),
                        cores,
                        settings.flag("permissions.retryAfter")
                                ? settings.duration("permissions.maxRetryAfterNs", Duration.ZERO)
                                : Duration.ZERO,
                        settings.duration("familyInfo.idleNs", Duration.ZERO),
                        chance));
    }

    private static CapacityAdvertisement advert(SettingLookup settings) {
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
            String at = "tenants." + i + ".";
            tenants.add(
                    new Tenant(
                            new TenantId(settings.text(at + "name")),
                            settings.number(at + "share", 1),
                            settings.number(at + "quotaPerS", Double.MAX_VALUE)));
        }
        return tenants;
    }
}

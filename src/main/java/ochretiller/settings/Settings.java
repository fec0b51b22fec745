package ochretiller.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import ochretiller.model.Advert;
import ochretiller.model.Effect;
import ochretiller.model.Operation;
import ochretiller.model.Tenant;
import ochretiller.model.TenantId;
import ochretiller.policy.Choice;

/** Decodes the settings of one start into the parts of the decisions, each with its own few. */
public final class Settings {
    private Settings() {}

    public static Map<String, Operation> operations(Lookup settings) {
        Map<String, Operation> operations = new LinkedHashMap<>();
        for (int i = 0; i < settings.whole("classes.count", 0); i++) {
            String at = "classes." + i + ".";
            Effect effect =
                    switch (settings.text(at + "effect")) {
                        case "pure" -> Effect.IDEMPOTENT;
                        case "token" -> Effect.TOKENED;
                        default -> Effect.NON_IDEMPOTENT; // an effect of a later wire is taken at
                            // its worst
                    };
            Duration timeout =
                    settings.span(at + "giveUpNs", Duration.ofNanos(settings.whole(at + "aimNs")));
            operations.put(
                    settings.text(at + "name"),
                    new Operation(
                            settings.text(at + "name"),
                            effect,
                            settings.span(at + "aimNs", timeout),
                            timeout,
                            settings.number(at + "importance", 1),
                            settings.number(at + "lateValue", 0),
                            settings.span(at + "windowNs", Duration.ZERO),
                            item(settings, "familyInfo.callsByClass", i).equals("true"),
                            Double.parseDouble(item(settings, "familyInfo.degradedWorth", i))));
        }
        return operations;
    }

    private static String item(Lookup settings, String list, int index) {
        String[] items = settings.text(list, "").split(",");
        return index < items.length && !items[index].isEmpty() ? items[index] : "0";
    }

    /** The decisions of one server; {@code cold} where what works for it has just been started. */
    public static Choice choice(Lookup settings, SplittableRandom chance, boolean cold) {
        int cores = (int) settings.whole("familyInfo.cpus");
        int peers = (int) settings.whole("peersTotal", 1);
        double memoryKb = settings.number("familyInfo.memoryKb", Double.MAX_VALUE);
        return new Choice(
                new Choice.TokenTable(settings.number("familyInfo.keyKb", 0), memoryKb),
                new Choice.RunLimit(
                        cores,
                        settings.number("guarantees.fallMultiple", 1),
                        cold ? settings.number("guarantees.coldShare", 1) : 1,
                        settings.span("guarantees.coldNs", Duration.ZERO),
                        !settings.text("familyInfo.halt", "silent").equals("silent")),
                new Choice.Hold(
                        tenants(settings),
                        peers,
                        settings.number("overShareWorth", 1),
                        settings.text("worthBy", "request").equals("work")),
                new Choice.Calls(
                        settings.number("familyInfo.callsOut", Double.MAX_VALUE),
                        cores,
                        settings.span("familyInfo.staysForNs", Duration.ZERO),
                        settings.span("familyInfo.shareSpanNs", Duration.ofSeconds(1))),
                new Choice.Memory(memoryKb, settings.number("familyInfo.runFactor", 1)),
                new Choice.Drain(settings.span("guarantees.stopSendingWithinNs", Duration.ZERO)),
                new Choice.Signals(
                        advert(settings),
                        (int) settings.whole("familyInfo.callers", 1),
                        cores,
                        settings.flag("permissions.retryAfter")
                                ? settings.span("permissions.maxRetryAfterNs", Duration.ZERO)
                                : Duration.ZERO,
                        settings.span("familyInfo.idleNs", Duration.ZERO),
                        chance));
    }

    private static Advert advert(Lookup settings) {
        return switch (settings.text("familyInfo.advert", "silent")) {
            case "threshold" -> Advert.LEVEL;
            case "window" -> Advert.WINDOW;
            case "share_of" -> Advert.SHARE;
            default -> Advert.NONE;
        };
    }

    private static List<Tenant> tenants(Lookup settings) {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < settings.whole("tenants.count", 0); i++) {
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

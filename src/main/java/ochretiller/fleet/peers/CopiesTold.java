package ochretiller.fleet.peers;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import ochretiller.fleet.copies.ClaimId;
import ochretiller.fleet.copies.Entry;
import ochretiller.fleet.copies.Keeper;
import ochretiller.fleet.copies.Outcome;
import ochretiller.fleet.epochs.Layout;

/**
 * What a server keeps for its fleet, as JSON, as the operators' commands read it. Made on the one
 * thread.
 */
final class CopiesTold {
    /** Tokens of a range that are listed: an answer has a bound. */
    private static final int MOST_TOKENS = 5_000;

    private final Copies.Inside inside;

    CopiesTold(Copies.Inside inside) {
        this.inside = inside;
    }

    String status() {
        Keeper keeper = inside.keeper();
        return JsonText.object(
                to -> {
                    Layout layout = inside.layout();
                    to.writeStringField("name", inside.name());
                    to.writeNumberField("epoch", layout.epoch());
                    to.writeNumberField("factor", layout.factor());
                    to.writeArrayFieldStart("keepers");
                    for (Layout.Server each : layout.servers()) {
                        to.writeString(each.name());
                    }
                    to.writeEndArray();
                    to.writeStringField("disk", inside.disk());
                    to.writeBooleanField("returning", keeper != null && keeper.returning());
                    to.writeNumberField("entries", keeper == null ? 0 : keeper.size());
                    to.writeNumberField("bytes", keeper == null ? 0 : keeper.bytes());
                    to.writeNumberField("ranges", keeper == null ? 0 : ranges(layout));
                    to.writeNumberField("behind", keeper == null ? 0 : keeper.behind());
                    to.writeNumberField(
                            "oldest_gap_ms",
                            keeper == null ? 0 : keeper.oldestGap(inside.now()).toMillis());
                    to.writeNumberField("hints", keeper == null ? 0 : keeper.hints());
                    to.writeNumberField("conflicts", keeper == null ? 0 : keeper.conflicts());
                    to.writeNumberField("fetched", keeper == null ? 0 : keeper.fetched());
                    to.writeNumberField(
                            "fetched_bytes", keeper == null ? 0 : keeper.fetchedBytes());
                    to.writeNumberField("sent_bytes", keeper == null ? 0 : keeper.sentBytes());
                    to.writeNumberField("compares", keeper == null ? 0 : keeper.compares());
                    to.writeNumberField("differed", keeper == null ? 0 : keeper.differed());
                    to.writeNumberField("claims_under_way", inside.underWay());
                    to.writeNumberField("claim_limit", Math.round(inside.limit()));
                    to.writeNumberField("words_waiting", inside.wordsWaiting());
                });
    }

    private int ranges(Layout layout) {
        int mine = 0;
        for (int range = 0; range < Layout.RANGES; range++) {
            if (layout.keepers(range).contains(inside.name())) {
                mine++;
            }
        }
        return mine;
    }

    String show(String token) {
        Keeper keeper = inside.keeper();
        int range = Layout.range(token);
        Duration now = inside.now();
        return JsonText.object(
                to -> {
                    to.writeStringField("name", inside.name());
                    to.writeNumberField("epoch", inside.layout().epoch());
                    to.writeNumberField("range", range);
                    to.writeArrayFieldStart("keepers");
                    for (String each : inside.layout().keepers(range)) {
                        to.writeString(each);
                    }
                    to.writeEndArray();
                    to.writeBooleanField("behind", keeper != null && keeper.isBehind(range));
                    if (keeper != null) {
                        entry(to, keeper.entry(token), now);
                    }
                });
    }

    private static void entry(JsonGenerator to, Entry entry, Duration now) throws IOException {
        to.writeBooleanField("known", !entry.claims().isEmpty() || !entry.released().isEmpty());
        to.writeNumberField("window_left_ms", Math.max(0, entry.until().minus(now).toMillis()));
        to.writeBooleanField("conflict", entry.conflict());
        to.writeArrayFieldStart("claims");
        for (Map.Entry<ClaimId, String> each : entry.claims().entrySet()) {
            to.writeStartObject();
            to.writeStringField("claim", each.getKey().toString());
            to.writeStringField("body", each.getValue());
            to.writeBooleanField("released", entry.released().contains(each.getKey()));
            to.writeEndObject();
        }
        to.writeEndArray();
        to.writeArrayFieldStart("ends");
        for (Map.Entry<ClaimId, Outcome> each : entry.outcomes().entrySet()) {
            to.writeStartObject();
            to.writeStringField("claim", each.getKey().toString());
            to.writeBooleanField("succeeded", each.getValue().succeeded());
            to.writeStringField("body", each.getValue().body());
            to.writeNumberField("bytes", each.getValue().size());
            to.writeStringField("sum", Long.toHexString(each.getValue().sum()));
            to.writeBooleanField("here", each.getValue().here());
            to.writeEndObject();
        }
        to.writeEndArray();
    }

    /** Of each range that this server keeps: its entries and the digest of them. */
    String digests() {
        Keeper keeper = inside.keeper();
        Layout layout = inside.layout();
        return JsonText.object(
                to -> {
                    to.writeStringField("name", inside.name());
                    to.writeNumberField("epoch", layout.epoch());
                    to.writeObjectFieldStart("ranges");
                    for (int range = 0; keeper != null && range < Layout.RANGES; range++) {
                        if (!layout.keepers(range).contains(inside.name())) {
                            continue;
                        }
                        to.writeArrayFieldStart(Integer.toString(range));
                        to.writeNumber(keeper.count(range));
                        to.writeString(Long.toHexString(keeper.digest(range)));
                        to.writeBoolean(!keeper.isBehind(range));
                        to.writeEndArray();
                    }
                    to.writeEndObject();
                });
    }

    /**
     * The tokens of one range, each with a mark of what is known of it and a word on how far it is.
     */
    String range(String number) {
        Keeper keeper = inside.keeper();
        int range;
        try {
            range = Integer.parseInt(number.trim());
        } catch (NumberFormatException e) {
            range = -1;
        }
        List<Keeper.Listed> tokens =
                keeper == null || range < 0 || range >= Layout.RANGES
                        ? List.of()
                        : keeper.list(range, MOST_TOKENS);
        return JsonText.object(
                to -> {
                    to.writeStringField("name", inside.name());
                    to.writeArrayFieldStart("tokens");
                    for (Keeper.Listed each : tokens) {
                        to.writeStartArray();
                        to.writeString(each.token());
                        to.writeString(Long.toHexString(each.mark()));
                        to.writeString(each.how());
                        to.writeEndArray();
                    }
                    to.writeEndArray();
                });
    }
}

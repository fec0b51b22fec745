package ochretiller.sim;

import java.util.HashMap;
import java.util.Map;
import ochretiller.settings.MalformedException;
import ochretiller.settings.SettingLookup;

/** The name=value parts of one line, or the settings of one instance, read by name. */
final class WireFields implements SettingLookup {
    private final Map<String, String> values = new HashMap<>();

    /** Reads what follows the message name; names that nobody asks for are skipped. */
    static WireFields parse(String line) {
        WireFields fields = new WireFields();
        int from = line.indexOf('\t');
        while (from >= 0) {
            int to = line.indexOf('\t', from + 1);
            fields.put(line.substring(from + 1, to < 0 ? line.length() : to));
            from = to;
        }
        return fields;
    }

    /** Reads name:value pairs set apart by commas. */
    static WireFields parseGauges(String text) {
        WireFields fields = new WireFields();
        if (!text.isEmpty()) {
            for (String pair : text.split(",")) {
                fields.put(pair.replaceFirst(":", "="));
            }
        }
        return fields;
    }

    private void put(String part) {
        int at = part.indexOf('=');
        if (at < 1) {
            throw new MalformedException("not name=value: '" + part + "'");
        }
        values.put(part.substring(0, at), part.substring(at + 1));
    }

    @Override
    public String find(String name) {
        return values.get(name);
    }
}

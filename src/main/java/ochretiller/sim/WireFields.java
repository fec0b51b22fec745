package ochretiller.sim;

import java.util.HashMap;
import java.util.Map;
import ochretiller.settings.MalformedException;
import ochretiller.settings.SettingLookup;

/** The {@code name=value} fields of one line. Names that no caller looks up are ignored. */
final class WireFields implements SettingLookup {
    private static final char SEPARATOR = '\t';

    private final Map<String, String> values = new HashMap<>();

    private WireFields() {}

    /**
     * Parses the tab-separated fields of a line, which follow its message name.
     *
     * @throws MalformedException if a field is not {@code name=value}
     */
    static WireFields parse(String line) {
        WireFields fields = new WireFields();
        int separator = line.indexOf(SEPARATOR);
        while (separator >= 0) {
            int nextSeparator = line.indexOf(SEPARATOR, separator + 1);
            fields.put(
                    line.substring(
                            separator + 1, nextSeparator < 0 ? line.length() : nextSeparator));
            separator = nextSeparator;
        }
        return fields;
    }

    /**
     * Parses gauges, which are {@code name:value} pairs separated by commas.
     *
     * @throws MalformedException if a pair is not {@code name:value}
     */
    static WireFields parseGauges(String text) {
        WireFields fields = new WireFields();
        if (!text.isEmpty()) {
            for (String pair : text.split(",")) {
                fields.put(pair.replaceFirst(":", "="));
            }
        }
        return fields;
    }

    private void put(String field) {
        int equals = field.indexOf('=');
        if (equals < 1) {
            throw new MalformedException("expected name=value, got '" + field + "'");
        }
        values.put(field.substring(0, equals), field.substring(equals + 1));
    }

    @Override
    public String find(String name) {
        return values.get(name);
    }
}

package ochretiller.sim;

import java.util.HashMap;
import java.util.Map;
import ochretiller.settings.MalformedException;
import ochretiller.settings.SettingLookup;

/** The {@code name=value} fields of one line. Names that nobody asks for are ignored. */
final class WireFields implements SettingLookup {
    private static final char SEPARATOR = '\t';

    private final Map<String, String> values = new HashMap<>();

    private WireFields() {}

    /**
     * Parses the fields of a line, which follow its message name.
     *
     * @throws MalformedException if a field is not {@code name=value}
     */
    static WireFields parse(String line) {
        WireFields fields = new WireFields();
        int from = line.indexOf(SEPARATOR);
        while (from >= 0) {
            int to = line.indexOf(SEPARATOR, from + 1);
            fields.put(line.substring(from + 1, to < 0 ? line.length() : to));
            from = to;
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
            throw new MalformedException("not name=value: '" + field + "'");
        }
        values.put(field.substring(0, equals), field.substring(equals + 1));
    }

    @Override
    public String find(String name) {
        return values.get(name);
    }
}

package ochretiller.sim;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** The name=value parts of one line, or the settings of one instance, read by name. */
final class Fields {
    private final Map<String, String> values = new HashMap<>();

    /** Reads what follows the message name; names that nobody asks for are skipped. */
    static Fields of(String line) {
        Fields fields = new Fields();
        int from = line.indexOf('\t');
        while (from >= 0) {
            int to = line.indexOf('\t', from + 1);
            fields.put(line.substring(from + 1, to < 0 ? line.length() : to));
            from = to;
        }
        return fields;
    }

    /** Reads name:value pairs set apart by commas. */
    static Fields ofGauges(String text) {
        Fields fields = new Fields();
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

    boolean has(String name) {
        return !text(name, "").isEmpty();
    }

    String text(String name) {
        String value = values.get(name);
        if (value == null) {
            throw new MalformedException("no value for " + name);
        }
        return value;
    }

    String text(String name, String otherwise) {
        return values.getOrDefault(name, otherwise);
    }

    long whole(String name) {
        String value = text(name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new MalformedException(name + " is no whole number: '" + value + "'");
        }
    }

    long whole(String name, long otherwise) {
        return has(name) ? whole(name) : otherwise;
    }

    double number(String name, double otherwise) {
        if (!has(name)) {
            return otherwise;
        }
        try {
            return Double.parseDouble(text(name));
        } catch (NumberFormatException e) {
            throw new MalformedException(name + " is no number: '" + text(name) + "'");
        }
    }

    Duration span(String name, Duration otherwise) {
        return has(name) ? Duration.ofNanos(whole(name)) : otherwise;
    }

    boolean flag(String name) {
        String value = text(name, "0");
        return value.equals("1") || value.equals("true");
    }
}

package ochretiller.settings;

import java.time.Duration;

/** Values by their path, such as {@code classes.0.name}; names that nobody asks for are skipped. */
@FunctionalInterface
public interface SettingLookup {
    /** The value as text, or null where there is none. */
    String find(String name);

    default boolean has(String name) {
        return !text(name, "").isEmpty();
    }

    default String text(String name) {
        String value = find(name);
        if (value == null) {
            throw new MalformedException("no value for " + name);
        }
        return value;
    }

    default String text(String name, String otherwise) {
        String value = find(name);
        return value == null ? otherwise : value;
    }

    default long wholeNumber(String name) {
        String value = text(name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new MalformedException(name + " is no whole number: '" + value + "'");
        }
    }

    default long wholeNumber(String name, long otherwise) {
        return has(name) ? wholeNumber(name) : otherwise;
    }

    default double number(String name, double otherwise) {
        if (!has(name)) {
            return otherwise;
        }
        try {
            return Double.parseDouble(text(name));
        } catch (NumberFormatException e) {
            throw new MalformedException(name + " is no number: '" + text(name) + "'");
        }
    }

    default Duration duration(String name, Duration otherwise) {
        return has(name) ? Duration.ofNanos(wholeNumber(name)) : otherwise;
    }

    default boolean flag(String name) {
        String value = text(name, "0");
        return value.equals("1") || value.equals("true");
    }
}

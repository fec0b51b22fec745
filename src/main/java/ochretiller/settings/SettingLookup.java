package ochretiller.settings;

import java.time.Duration;

/**
 * Looks up settings by path, such as {@code classes.0.name}. Unknown settings are ignored, so that
 * a later version may add some. All methods that parse throw {@link MalformedException} for a
 * malformed value, and methods without a default throw it for a missing setting.
 */
@FunctionalInterface
public interface SettingLookup {
    /** Returns the setting as text, or null if it is missing. */
    String find(String name);

    /** Returns whether the setting is present and not empty. */
    default boolean has(String name) {
        return !text(name, "").isEmpty();
    }

    /** Returns the setting as text. */
    default String text(String name) {
        String value = find(name);
        if (value == null) {
            throw new MalformedException("missing value for " + name);
        }
        return value;
    }

    /** Returns the setting as text, or a default if it is missing. */
    default String text(String name, String defaultValue) {
        String value = find(name);
        return value == null ? defaultValue : value;
    }

    /** Returns the setting as a whole number. */
    default long wholeNumber(String name) {
        String value = text(name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new MalformedException(
                    name + " must be a whole number, but is '" + value + "'", e);
        }
    }

    /** Returns the setting as a whole number, or a default if it is missing or empty. */
    default long wholeNumber(String name, long defaultValue) {
        return has(name) ? wholeNumber(name) : defaultValue;
    }

    /** Returns the setting as a number, or a default if it is missing or empty. */
    default double number(String name, double defaultValue) {
        if (!has(name)) {
            return defaultValue;
        }
        try {
            return Double.parseDouble(text(name));
        } catch (NumberFormatException e) {
            throw new MalformedException(
                    name + " must be a number, but is '" + text(name) + "'", e);
        }
    }

    /** Returns a setting in nanoseconds, or a default if it is missing or empty. */
    default Duration duration(String name, Duration defaultValue) {
        return has(name) ? Duration.ofNanos(wholeNumber(name)) : defaultValue;
    }

    /** Returns whether the setting is {@code 1} or {@code true}; false if it is missing. */
    default boolean flag(String name) {
        String value = text(name, "0");
        return value.equals("1") || value.equals("true");
    }
}

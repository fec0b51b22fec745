package ochretiller.fleet.service;

import java.util.regex.Pattern;

/** Compares the build numbers of programs, such as {@code 1.4.2-rc1}. */
final class BuildNumbers {
    private static final Pattern SEPARATOR = Pattern.compile("[.-]");
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,9}");
    private static final Pattern ZERO = Pattern.compile("0+");

    private BuildNumbers() {}

    /**
     * Returns whether a build is older than a minimum. Numeric parts are compared by value and
     * others as text; a part that is not numeric is older than a numeric one.
     */
    static boolean isOlder(String build, String minimumBuild) {
        String[] parts = SEPARATOR.split(build);
        String[] minimumParts = SEPARATOR.split(minimumBuild);
        for (int i = 0; i < Math.min(parts.length, minimumParts.length); i++) {
            if (isNumber(minimumParts[i]) && !isNumber(parts[i])) {
                return true;
            }
            int order = compareParts(parts[i], minimumParts[i]);
            if (order != 0) {
                return order < 0;
            }
        }
        return parts.length < minimumParts.length && isPositive(minimumParts[parts.length]);
    }

    private static int compareParts(String part, String minimumPart) {
        if (isNumber(part) && isNumber(minimumPart)) {
            return Integer.compare(Integer.parseInt(part), Integer.parseInt(minimumPart));
        }
        return part.compareTo(minimumPart);
    }

    private static boolean isNumber(String part) {
        return NUMBER.matcher(part).matches();
    }

    private static boolean isPositive(String part) {
        return isNumber(part) && !ZERO.matcher(part).matches();
    }
}

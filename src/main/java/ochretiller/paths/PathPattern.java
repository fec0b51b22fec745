package ochretiller.paths;

import java.util.ArrayList;
import java.util.List;
import ochretiller.settings.MalformedException;
import org.jparsec.Parser;
import org.jparsec.Parsers;
import org.jparsec.Scanners;
import org.jparsec.error.ParserException;
import org.jparsec.pattern.Patterns;

/**
 * A path pattern such as {@code /orders/{id}/lines} or {@code /files/**}. A name in braces matches
 * one non-empty path segment; two stars at the end match any number of further segments.
 *
 * @param text the pattern as it was written
 * @param parts one entry per segment: a literal, or {@code {}} for a name in braces
 * @param hasTail whether the pattern ends with two stars
 */
public record PathPattern(String text, List<String> parts, boolean hasTail) {
    /** Marks a segment of a pattern that matches any non-empty segment. */
    private static final String ANY_SEGMENT = "{}";

    private static final String TAIL = "**";

    private static final Parser<String> LITERAL =
            Patterns.regex("[A-Za-z0-9._~%!$&'()+,;=:@-]+").toScanner("a literal").source();
    private static final Parser<String> NAMED =
            Patterns.regex("\\{[A-Za-z][A-Za-z0-9_]*\\}")
                    .toScanner("a name in braces")
                    .retn(ANY_SEGMENT);
    private static final Parser<String> TAIL_PARSER = Scanners.string(TAIL).retn(TAIL);
    private static final Parser<List<String>> PATH =
            Scanners.isChar('/')
                    .next(Parsers.or(TAIL_PARSER, NAMED, LITERAL).sepBy(Scanners.isChar('/')));

    /**
     * Parses a pattern.
     *
     * @throws MalformedException if the pattern is invalid, with the column of a syntax error
     */
    public static PathPattern parse(String text) {
        List<String> parsed;
        try {
            parsed = PATH.parse(text);
        } catch (ParserException e) {
            throw new MalformedException(
                    "path '"
                            + text
                            + "', column "
                            + e.getColumn()
                            + ": "
                            + String.valueOf(
                                    e.getErrorDetails() == null
                                            ? ""
                                            : "unexpected "
                                                    + e.getErrorDetails().getEncountered()));
        }
        int tailIndex = parsed.indexOf(TAIL);
        if (tailIndex >= 0 && tailIndex < parsed.size() - 1) {
            throw new MalformedException("path '" + text + "': ** is allowed only at the end");
        }
        List<String> parts = new ArrayList<>(tailIndex < 0 ? parsed : parsed.subList(0, tailIndex));
        return new PathPattern(text, List.copyOf(parts), tailIndex >= 0);
    }

    private static List<String> split(String path) {
        return List.of(path.substring(1).split("/", -1));
    }

    /** Returns whether this pattern matches a path, given without a query string. */
    public boolean matches(String path) {
        if (!path.startsWith("/")) {
            return false;
        }
        List<String> segments = path.equals("/") ? List.of() : split(path);
        if (segments.size() < parts.size() || segments.size() > parts.size() && !hasTail) {
            return false;
        }
        for (int i = 0; i < parts.size(); i++) {
            boolean matches =
                    parts.get(i).equals(ANY_SEGMENT)
                            ? !segments.get(i).isEmpty()
                            : parts.get(i).equals(segments.get(i));
            if (!matches) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether this pattern matches every path that the other one matches. */
    public boolean covers(PathPattern other) {
        if (hasTail
                ? other.parts.size() < parts.size()
                : other.hasTail || other.parts.size() != parts.size()) {
            return false;
        }
        for (int i = 0; i < parts.size(); i++) {
            if (!parts.get(i).equals(ANY_SEGMENT) && !parts.get(i).equals(other.parts.get(i))) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether at least one path is matched by both patterns. */
    public boolean overlaps(PathPattern other) {
        int common = Math.min(parts.size(), other.parts.size());
        if (parts.size() > common && !other.hasTail || other.parts.size() > common && !hasTail) {
            return false;
        }
        for (int i = 0; i < common; i++) {
            String part = parts.get(i);
            String otherPart = other.parts.get(i);
            if (!part.equals(ANY_SEGMENT)
                    && !otherPart.equals(ANY_SEGMENT)
                    && !part.equals(otherPart)) {
                return false;
            }
        }
        return true;
    }
}

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
 * A pattern such as {@code /orders/{id}/lines} or, with a tail, {@code /files/**}: a name in braces
 * stands for one part that is not empty, two stars at the end for whatever follows.
 *
 * @param parts literals, and null for what stands for any part
 * @param tail whether anything may follow
 */
public record PathPattern(String text, List<String> parts, boolean tail) {
    /** A part that stands for any other. */
    private static final String ANY = "{}";

    private static final String TAIL = "**";

    private static final Parser<String> LITERAL =
            Patterns.regex("[A-Za-z0-9._~%!$&'()+,;=:@-]+").toScanner("a literal").source();
    private static final Parser<String> NAMED =
            Patterns.regex("\\{[A-Za-z][A-Za-z0-9_]*\\}").toScanner("a name in braces").retn(ANY);
    private static final Parser<String> REST = Scanners.string(TAIL).retn(TAIL);
    private static final Parser<List<String>> PATH =
            Scanners.isChar('/').next(Parsers.or(REST, NAMED, LITERAL).sepBy(Scanners.isChar('/')));

    /** Reads one; what is wrong is told with its place. */
    public static PathPattern of(String text) {
        List<String> read;
        try {
            read = PATH.parse(text);
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
        int star = read.indexOf(TAIL);
        if (star >= 0 && star < read.size() - 1) {
            throw new MalformedException("path '" + text + "': ** stands at the end only");
        }
        List<String> parts = new ArrayList<>(star < 0 ? read : read.subList(0, star));
        return new PathPattern(text, List.copyOf(parts), star >= 0);
    }

    private static List<String> split(String path) {
        return List.of(path.substring(1).split("/", -1));
    }

    /** Whether it is one of these paths; a query is no part of it. */
    public boolean matches(String path) {
        if (!path.startsWith("/")) {
            return false;
        }
        List<String> given = path.equals("/") ? List.of() : split(path);
        if (given.size() < parts.size() || given.size() > parts.size() && !tail) {
            return false;
        }
        for (int i = 0; i < parts.size(); i++) {
            boolean fits =
                    parts.get(i).equals(ANY)
                            ? !given.get(i).isEmpty()
                            : parts.get(i).equals(given.get(i));
            if (!fits) {
                return false;
            }
        }
        return true;
    }

    /** Whether all that the other matches is matched by this one. */
    public boolean covers(PathPattern other) {
        if (tail
                ? other.parts.size() < parts.size()
                : other.tail || other.parts.size() != parts.size()) {
            return false;
        }
        for (int i = 0; i < parts.size(); i++) {
            if (!parts.get(i).equals(ANY) && !parts.get(i).equals(other.parts.get(i))) {
                return false;
            }
        }
        return true;
    }

    /** Whether there is a path that both match. */
    public boolean overlaps(PathPattern other) {
        int both = Math.min(parts.size(), other.parts.size());
        if (parts.size() > both && !other.tail || other.parts.size() > both && !tail) {
            return false;
        }
        for (int i = 0; i < both; i++) {
            String mine = parts.get(i);
            String its = other.parts.get(i);
            if (!mine.equals(ANY) && !its.equals(ANY) && !mine.equals(its)) {
                return false;
            }
        }
        return true;
    }
}

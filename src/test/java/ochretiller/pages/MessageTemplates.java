package ochretiller.pages;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The messages that the sources write, each with its variable parts replaced by {@code ...}.
 *
 * <p>A message is the argument of a call: its string literals are taken as they stand, a choice
 * between two literals counts as both, and any other operand is a variable part.
 */
final class MessageTemplates {
    /** A call that writes a line of the log; the group is the method's name. */
    static final Pattern LOG_CALL =
            Pattern.compile(
                    "\\b(?:LOG|LOGGER|log|logger)\\.(log|severe|warning|info|config|fine)\\(");

    /** The making of an exception, whose message the command line prints. */
    static final Pattern EXCEPTION = Pattern.compile("\\bnew \\w+(Exception)\\(");

    private static final Pattern LITERAL = Pattern.compile("\"((?:[^\"\\\\]|\\\\.)*)\"");
    private static final Pattern CHARACTER = Pattern.compile("'(.)'");
    private static final Pattern CHOICE =
            Pattern.compile(
                    "\\(?[^\"]*\\?\\s*" + LITERAL + "\\s*:\\s*" + LITERAL + "\\s*\\)?",
                    Pattern.DOTALL);

    /** What a page writes for a variable part: dots, or a word in capitals. */
    private static final String VARIABLE_PART = "(?:\\.\\.\\.|[A-Z]+)";

    private static final String ENDING = "...";

    /** A quotation that is cut short has at least so many characters before its dots. */
    private static final int SHORTEST_PREFIX = 6;

    private final List<Pattern> templates = new ArrayList<>();

    /** Collects the messages of all calls that a pattern finds in some sources. */
    static MessageTemplates of(Pattern call, List<String> sources) {
        MessageTemplates found = new MessageTemplates();
        for (String source : sources) {
            Matcher calls = call.matcher(source);
            while (calls.find()) {
                for (String argument : split(source, calls.end(), ',')) {
                    found.add(argument);
                }
            }
        }
        return found;
    }

    /**
     * Whether some message reads like a quotation. In it {@code ...} or a word in capitals stands
     * for a variable part; dots at its end stand for all that follows.
     */
    boolean contain(String quotation) {
        boolean isCutShort = quotation.endsWith(ENDING);
        String fixed =
                isCutShort
                        ? quotation.substring(0, quotation.length() - ENDING.length())
                        : quotation;
        if (isCutShort && fixed.length() < SHORTEST_PREFIX) {
            return false;
        }
        return templates.stream()
                .map(template -> template.matcher(fixed))
                .anyMatch(matcher -> matcher.matches() || isCutShort && matcher.hitEnd());
    }

    int size() {
        return templates.size();
    }

    private void add(String argument) {
        StringBuilder regex = new StringBuilder();
        boolean hasText = false;
        for (String operand : split(argument.replaceFirst("^\\s*\\(\\)\\s*->", ""), 0, '+')) {
            String part = operand.strip();
            Matcher literal = LITERAL.matcher(part);
            Matcher character = CHARACTER.matcher(part);
            Matcher choice = CHOICE.matcher(part);
            if (literal.matches()) {
                regex.append(Pattern.quote(unescape(literal.group(1))));
                hasText = true;
            } else if (character.matches()) {
                regex.append(Pattern.quote(character.group(1)));
            } else if (choice.matches()) {
                regex.append("(?:").append(Pattern.quote(unescape(choice.group(1)))).append('|');
                regex.append(Pattern.quote(unescape(choice.group(2)))).append(')');
                hasText = true;
            } else {
                regex.append(VARIABLE_PART);
            }
        }
        if (hasText) {
            templates.add(Pattern.compile(regex.toString()));
        }
    }

    private static String unescape(String literal) {
        return literal.replace("\\\"", "\"").replace("\\n", "\n").replace("\\\\", "\\");
    }

    /**
     * Splits an expression at a separator that stands outside of its brackets and literals, up to
     * the bracket that closes it or the end of the text.
     */
    private static List<String> split(String text, int from, char separator) {
        List<String> parts = new ArrayList<>();
        int depth = 0;
        int start = from;
        int at = from;
        while (at < text.length() && depth >= 0) {
            char c = text.charAt(at);
            if (c == '"' || c == '\'') {
                at = endOfLiteral(text, at);
            } else if (c == '(' || c == '{' || c == '[') {
                depth++;
            } else if (c == ')' || c == '}' || c == ']') {
                depth--;
            } else if (c == separator && depth == 0) {
                parts.add(text.substring(start, at));
                start = at + 1;
            }
            at++;
        }
        parts.add(text.substring(start, depth < 0 ? at - 1 : at));
        return parts;
    }

    private static int endOfLiteral(String text, int opening) {
        char quote = text.charAt(opening);
        int at = opening + 1;
        while (at < text.length() && text.charAt(at) != quote) {
            at += text.charAt(at) == '\\' ? 2 : 1;
        }
        return at;
    }
}

package ochretiller.pages;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Patterns of the messages in the sources, for comparison with quotations in which {@code ...}
 * replaces a variable part.
 *
 * <p>A message is the argument of a call. Its string literals match literally, a conditional of two
 * literals matches either, and any other operand is a variable part.
 */
final class MessageTemplates {
    /** A call that writes a log line; the group is the name of the method. */
    static final Pattern LOG_CALL =
            Pattern.compile(
                    "\\b(?:LOG|LOGGER|log|logger)\\.(log|severe|warning|info|config|fine)\\(");

    /** The creation of an exception, whose message the command line prints. */
    static final Pattern EXCEPTION = Pattern.compile("\\bnew \\w+(Exception)\\(");

    private static final Pattern LITERAL = Pattern.compile("\"((?:[^\"\\\\]|\\\\.)*)\"");
    private static final Pattern CHARACTER = Pattern.compile("'(.)'");
    private static final Pattern CHOICE =
            Pattern.compile(
                    "\\(?[^\"]*\\?\\s*" + LITERAL + "\\s*:\\s*" + LITERAL + "\\s*\\)?",
                    Pattern.DOTALL);

    /** The notation for a variable part in a quotation: three dots, or a word in capitals. */
    private static final String VARIABLE_PART = "(?:\\.\\.\\.|[A-Z]+)";

    private static final String ELLIPSIS = "...";

    /** Minimum number of characters before the final dots of a shortened quotation. */
    private static final int MIN_PREFIX_CHARS = 6;

    private final List<Pattern> templates = new ArrayList<>();

    /** Collects the messages of all calls in the sources that match a pattern. */
    static MessageTemplates of(Pattern call, List<String> sources) {
        MessageTemplates result = new MessageTemplates();
        for (String source : sources) {
            Matcher calls = call.matcher(source);
            while (calls.find()) {
                for (String argument : split(source, calls.end(), ',')) {
                    result.add(argument);
                }
            }
        }
        return result;
    }

    /**
     * Returns whether a message matches the quotation, in which {@code ...} or a word in capitals
     * replaces a variable part, and {@code ...} at the end replaces the rest of the message.
     */
    boolean matches(String quotation) {
        boolean isShortened = quotation.endsWith(ELLIPSIS);
        String prefix =
                isShortened
                        ? quotation.substring(0, quotation.length() - ELLIPSIS.length())
                        : quotation;
        if (isShortened && prefix.length() < MIN_PREFIX_CHARS) {
            return false;
        }
        return templates.stream()
                .map(template -> template.matcher(prefix))
                .anyMatch(matcher -> matcher.matches() || isShortened && matcher.hitEnd());
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
     * Splits an expression at a separator outside of brackets and literals. The expression ends at
     * an unmatched closing bracket or at the end of the text.
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

package ochretiller.json5;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import com.networknt.schema.serialization.node.LocationJsonNodeFactoryFactory;
import com.networknt.schema.utils.JsonNodes;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import ochretiller.settings.MalformedException;

/**
 * Reads files in JSON5 and holds them against a schema. What is wrong is told by a {@link
 * MalformedException}, one line with file, line and column of each fault.
 */
public final class Json5 {
    /** Longest file that is read: a hundred times the longest example. */
    private static final int LONGEST = 1 << 20;

    private final Class<?> owner;
    private final String schema;

    /**
     * A kind of file.
     *
     * @param owner the class whose package has the schema as a resource
     * @param schema the resource's name
     */
    public Json5(Class<?> owner, String schema) {
        this.owner = owner;
        this.schema = schema;
    }

    /**
     * JSON5 as far as its page and the library agree: comments, bare names, single quotes, commas
     * at the end, hex, signs.
     */
    private static ObjectMapper json5() {
        JsonFactory factory =
                JsonFactory.builder()
                        .enable(
                                JsonReadFeature.ALLOW_JAVA_COMMENTS,
                                JsonReadFeature.ALLOW_UNQUOTED_FIELD_NAMES,
                                JsonReadFeature.ALLOW_SINGLE_QUOTES,
                                JsonReadFeature.ALLOW_TRAILING_COMMA,
                                JsonReadFeature.ALLOW_LEADING_PLUS_SIGN_FOR_NUMBERS,
                                JsonReadFeature.ALLOW_LEADING_DECIMAL_POINT_FOR_NUMBERS,
                                JsonReadFeature.ALLOW_TRAILING_DECIMAL_POINT_FOR_NUMBERS)
                        .streamReadConstraints(
                                StreamReadConstraints.builder().maxNestingDepth(50).build())
                        .build();
        return JsonMapper.builder(factory)
                .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .build();
    }

    /** A file's name without its ending. */
    public static String name(Path file) {
        String name = file.getFileName().toString();
        int dot = name.indexOf('.');
        return dot < 0 ? name : name.substring(0, dot);
    }

    /**
     * The file's value.
     *
     * @param what the file's name in words, for one that cannot be read
     */
    public JsonNode read(Path file, String what) {
        String text;
        try {
            if (Files.size(file) > LONGEST) {
                throw new MalformedException(file + " is longer than " + LONGEST + " bytes");
            }
            text = Files.readString(file);
        } catch (IOException e) {
            throw new MalformedException("cannot read " + what + ' ' + file);
        }
        return of(text, file.toString());
    }

    /** The value of a text that goes by this name. */
    public JsonNode of(String text, String name) {
        JsonNode root;
        try {
            root = JsonNodes.readTree(json5(), text, new LocationJsonNodeFactoryFactory());
        } catch (RuntimeException e) {
            throw new MalformedException(name + unread(e));
        }
        List<Error> errors = schema().validate(root);
        if (!errors.isEmpty()) {
            throw new MalformedException(name + told(root, errors));
        }
        return root;
    }

    /** A reader's own words for the first thing that is no JSON5, in one line with its place. */
    private static String unread(Throwable thrown) {
        for (Throwable cause = thrown; cause != null; cause = cause.getCause()) {
            if (cause instanceof JsonProcessingException fault) {
                JsonLocation at = fault.getLocation();
                return (at == null ? "" : ":" + at.getLineNr() + ":" + at.getColumnNr())
                        + ": "
                        + fault.getOriginalMessage()
                                .replaceAll("\\s+", " ")
                                .replaceAll(" (for `ObjectNode`|\\(bound as).*", "");
            }
        }
        return ": " + thrown.getMessage();
    }

    private Schema schema() {
        try (InputStream in = owner.getResourceAsStream(schema)) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(text, InputFormat.JSON);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String told(JsonNode root, List<Error> errors) {
        List<String> lines = new ArrayList<>();
        for (Error error : errors) {
            JsonNode node = root;
            for (int i = 0; i < error.getInstanceLocation().getNameCount() && node != null; i++) {
                node = JsonNodes.get(node, error.getInstanceLocation().getElement(i));
            }
            // Where a member is one too many, its own place is told, not that of the object round
            // it.
            if (node != null && error.getProperty() != null && node.has(error.getProperty())) {
                node = node.get(error.getProperty());
            }
            JsonLocation at = node == null ? null : JsonNodes.tokenStreamLocationOf(node);
            String path = error.getInstanceLocation().toString();
            lines.add(
                    (at == null ? "" : ":" + at.getLineNr() + ":" + at.getColumnNr())
                            + ": "
                            + (path.isEmpty() || path.equals("$") ? "" : path + ": ")
                            + error.getMessage());
        }
        return String.join("; ", lines);
    }
}

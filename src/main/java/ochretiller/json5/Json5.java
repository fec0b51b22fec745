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
 * Reads JSON5 files and validates them against a JSON schema. Errors are reported by a {@link
 * MalformedException} whose one-line message has the file, line and column of each error.
 */
public final class Json5 {
    /** Maximum size of a file, about a hundred times the longest example. */
    private static final int MAX_FILE_BYTES = 1 << 20;

    private final Class<?> owner;
    private final String schemaName;

    /**
     * Creates a reader for files with a given schema.
     *
     * @param owner the class that loads the schema as a resource
     * @param schemaName the name of the resource
     */
    public Json5(Class<?> owner, String schemaName) {
        this.owner = owner;
        this.schemaName = schemaName;
    }

    /**
     * Returns a mapper for the subset of JSON5 that the library supports: comments, unquoted names,
     * single quotes, trailing commas, explicit plus signs, leading and trailing decimal points.
     */
    private static ObjectMapper mapper() {
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

    /** Returns the name of a file up to its first dot. */
    public static String baseName(Path file) {
        String name = file.getFileName().toString();
        int dot = name.indexOf('.');
        return dot < 0 ? name : name.substring(0, dot);
    }

    /**
     * Reads and validates a file.
     *
     * @param description what the file is, for the message if it cannot be read
     * @throws MalformedException if the file cannot be read, is too long or is invalid
     */
    public JsonNode read(Path file, String description) {
        String text;
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new MalformedException(file + " is longer than " + MAX_FILE_BYTES + " bytes");
            }
            text = Files.readString(file);
        } catch (IOException e) {
            throw new MalformedException("cannot read " + description + ' ' + file);
        }
        return parse(text, file.toString());
    }

    /**
     * Parses and validates a text.
     *
     * @param name the name of the text, for error messages
     * @throws MalformedException if the text is invalid
     */
    public JsonNode parse(String text, String name) {
        JsonNode root;
        try {
            root = JsonNodes.readTree(mapper(), text, new LocationJsonNodeFactoryFactory());
        } catch (RuntimeException e) {
            throw new MalformedException(name + parseError(e));
        }
        List<Error> errors = schema().validate(root);
        if (!errors.isEmpty()) {
            throw new MalformedException(name + schemaErrors(root, errors));
        }
        return root;
    }

    /** Returns the location and message of the parser's syntax error, as one line. */
    private static String parseError(Throwable thrown) {
        for (Throwable cause = thrown; cause != null; cause = cause.getCause()) {
            if (cause instanceof JsonProcessingException exception) {
                JsonLocation at = exception.getLocation();
                return (at == null ? "" : ":" + at.getLineNr() + ":" + at.getColumnNr())
                        + ": "
                        + exception
                                .getOriginalMessage()
                                .replaceAll("\\s+", " ")
                                .replaceAll(" (for `ObjectNode`|\\(bound as).*", "");
            }
        }
        return ": " + thrown.getMessage();
    }

    private Schema schema() {
        try (InputStream in = owner.getResourceAsStream(schemaName)) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(text, InputFormat.JSON);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the location and message of each schema violation, as one line. */
    private static String schemaErrors(JsonNode root, List<Error> errors) {
        List<String> messages = new ArrayList<>();
        for (Error error : errors) {
            JsonNode node = root;
            for (int i = 0; i < error.getInstanceLocation().getNameCount() && node != null; i++) {
                node = JsonNodes.get(node, error.getInstanceLocation().getElement(i));
            }
            // For a member that is not allowed, report its own location, not that of its object.
            if (node != null && error.getProperty() != null && node.has(error.getProperty())) {
                node = node.get(error.getProperty());
            }
            JsonLocation at = node == null ? null : JsonNodes.tokenStreamLocationOf(node);
            String path = error.getInstanceLocation().toString();
            messages.add(
                    (at == null ? "" : ":" + at.getLineNr() + ":" + at.getColumnNr())
                            + ": "
                            + (path.isEmpty() || path.equals("$") ? "" : path + ": ")
                            + error.getMessage());
        }
        return String.join("; ", messages);
    }
}

package ochretiller.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Settings from nested JSON, flattened to the paths of the simulator protocol: {@code {"classes":
 * [{"name": "read"}]}} becomes {@code classes.count} and {@code classes.0.name}.
 */
public final class JsonSettings implements SettingLookup {
    private final Map<String, String> values = new HashMap<>();

    /**
     * Flattens a parsed JSON object.
     *
     * @param object members by name: maps, lists, and scalars whose text is the setting
     */
    public JsonSettings(Map<String, Object> object) {
        put("", object);
    }

    private void put(String path, Object value) {
        if (value instanceof Map<?, ?> object) {
            object.forEach(
                    (name, member) -> put(path.isEmpty() ? "" + name : path + "." + name, member));
        } else if (value instanceof List<?> list) {
            putList(path, list);
        } else {
            values.put(path, value.toString());
        }
    }

    /** Adds the count and the items of a list; a list of scalars is also one text, with commas. */
    private void putList(String path, List<?> list) {
        if (list.stream().noneMatch(item -> item instanceof Map || item instanceof List)) {
            values.put(path, list.stream().map(Object::toString).collect(Collectors.joining(",")));
        }
        values.put(path + ".count", "" + list.size());
        for (int i = 0; i < list.size(); i++) {
            put(path + "." + i, list.get(i));
        }
    }

    @Override
    public String find(String name) {
        return values.get(name);
    }
}

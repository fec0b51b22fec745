package ochretiller.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import ochretiller.model.Operation;
import ochretiller.settings.JsonSettings;
import ochretiller.settings.MalformedException;
import ochretiller.settings.SettingLookup;
import ochretiller.settings.Settings;
import ochretiller.text.BadInputException;
import ochretiller.text.Json;
import ochretiller.text.Slice;

/**
 * What a server is told at its start, checked before it listens.
 *
 * @param listenAddress where gateways connect
 * @param recordsAddress where calls go; null where no operation calls
 * @param shutdownTimeout how long after the notice to leave the process is killed
 * @param maxDescriptors descriptors that may be held
 */
public record ServerConfiguration(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress processorAddress,
        InetSocketAddress recordsAddress,
        InetSocketAddress registryAddress,
        long seed,
        Duration shutdownTimeout,
        int memoryLimitMb,
        int maxDescriptors,
        SettingLookup settings) {
    /** Settings that no server can do without. */
    private static final List<String> NEEDED =
            List.of(
                    "classes.0.name",
                    "familyInfo.cpus",
                    "familyInfo.memoryKb",
                    "familyInfo.meters",
                    "familyInfo.idleNs",
                    "guarantees.stopSendingWithinNs");

    private static final int FEWEST_SOCKETS = 64;
    private static final int LEAST_MB = 32;

    /**
     * Reads and checks the file; what is wrong is told by a {@link MalformedException} that names
     * it.
     */
    public static ServerConfiguration read(Path file) {
        Object value;
        try {
            value = new Json(slice(Files.readAllBytes(file))).read();
        } catch (IOException e) {
            throw new MalformedException("cannot read the configuration " + file);
        } catch (BadInputException e) {
            throw new MalformedException(
                    "the configuration " + file + " is not JSON: " + e.getMessage());
        }
        if (!(value instanceof Map)) {
            throw new MalformedException("the configuration " + file + " is no JSON object");
        }
        return of(asObject(value));
    }

    private static Slice slice(byte[] bytes) {
        return new Slice(bytes, 0, bytes.length);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> asObject(Object value) {
        return (Map<String, Object>) value;
    }

    static ServerConfiguration of(Map<String, Object> object) {
        SettingLookup top = new JsonSettings(object);
        if (!(object.get("settings") instanceof Map)) {
            throw new MalformedException("no value for settings");
        }
        SettingLookup settings = new JsonSettings(asObject(object.get("settings")));
        NEEDED.forEach(settings::text);
        ServerConfiguration read =
                new ServerConfiguration(
                        top.text("name"),
                        address(top, "listen"),
                        address(top, "processor"),
                        top.has("records") ? address(top, "records") : null,
                        address(top, "roster"),
                        seed(top.text("seed")),
                        Duration.ofMillis(atLeast(top, "stop_ms", 1)),
                        (int) atLeast(top, "limits.memory_mb", LEAST_MB),
                        (int) atLeast(top, "limits.sockets", FEWEST_SOCKETS),
                        settings);
        for (int i = 0; i < settings.wholeNumber("classes.count"); i++) {
            atLeast(settings, "classes." + i + ".giveUpNs", 1);
        }
        Settings.admissionController(
                settings,
                new SplittableRandom(read.seed),
                false); // a wrong setting is told by its name
        // A site where nothing calls below has no such service; elsewhere it cannot be done
        // without.
        boolean calls =
                read.operations().values().stream()
                        .anyMatch(Operation::makesCalls); // a wrong one is told in any case
        if (read.recordsAddress == null && calls) {
            top.text("records");
        }
        return read;
    }

    /** Guards against a JVM that was sized by something else; null where it was sized by nobody. */
    public void checkJvmSize(Integer sizedMb) {
        if (sizedMb == null || sizedMb == memoryLimitMb) {
            return;
        }
        throw new MalformedException(
                "limits.memory_mb is "
                        + memoryLimitMb
                        + ", and the JVM was sized for "
                        + sizedMb
                        + ": write it as plain digits on the line of its name");
    }

    Map<String, Operation> operations() {
        return Settings.operations(settings);
    }

    private static long atLeast(SettingLookup lookup, String name, long least) {
        long value = lookup.wholeNumber(name);
        if (value < least) {
            throw new MalformedException(name + " is under " + least + ": " + value);
        }
        return value;
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new MalformedException("seed is no number of 16 hex digits: '" + text + "'");
        }
    }

    private static InetSocketAddress address(SettingLookup lookup, String name) {
        String text = lookup.text(name);
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            // Digits and dots only: no name is ever looked up.
            if (colon > 0
                    && text.substring(0, colon).matches("\\d{1,3}(\\.\\d{1,3}){3}")
                    && port > 0) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (IllegalArgumentException e) {
            // told below
        }
        throw new MalformedException(name + " is no address: '" + text + "'");
    }
}

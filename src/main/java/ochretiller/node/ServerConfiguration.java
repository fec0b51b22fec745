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
 * The configuration that the platform gives to a server, validated before the server listens.
 *
 * @param name the server's name
 * @param listenAddress address on which the server accepts gateways
 * @param processorAddress address of the processor
 * @param recordsAddress address of the records service, or null if no operation makes calls
 * @param registryAddress address to which registry reports are sent
 * @param seed seed of the server's random number generators
 * @param shutdownTimeout time from the shutdown notice until the process is killed
 * @param memoryLimitMb memory limit of the process, in MiB
 * @param maxDescriptors file descriptor limit of the process
 * @param settings the settings of the admission controller
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
    private static final List<String> REQUIRED_SETTINGS =
            List.of(
                    "classes.0.name",
                    "familyInfo.cpus",
                    "familyInfo.memoryKb",
                    "familyInfo.meters",
                    "familyInfo.idleNs",
                    "guarantees.stopSendingWithinNs");
    private static final int MIN_DESCRIPTORS = 64;
    private static final int MIN_MEMORY_MB = 32;
    private static final int HEX_RADIX = 16;

    /** Only numeric addresses are accepted, so that no host name is ever resolved. */
    private static final String IPV4 = "\\d{1,3}(\\.\\d{1,3}){3}";

    /**
     * Reads and checks a configuration.
     *
     * @throws MalformedException if the file cannot be read, or a value is missing or invalid; the
     *     message names the file or the value
     */
    public static ServerConfiguration read(Path file) {
        Object value;
        try {
            value = new Json(slice(Files.readAllBytes(file))).parse();
        } catch (IOException e) {
            throw new MalformedException("cannot read the configuration " + file);
        } catch (BadInputException e) {
            throw new MalformedException(
                    "the configuration " + file + " is not JSON: " + e.getMessage());
        }
        if (!(value instanceof Map)) {
            throw new MalformedException("the configuration " + file + " is not a JSON object");
        }
        return of(asObject(value));
    }

    private static Slice slice(byte[] bytes) {
        return new Slice(bytes, 0, bytes.length);
    }

    @SuppressWarnings("unchecked") // the parser's objects have string keys
    private static Map<String, Object> asObject(Object value) {
        return (Map<String, Object>) value;
    }

    static ServerConfiguration of(Map<String, Object> object) {
        SettingLookup top = new JsonSettings(object);
        if (!(object.get("settings") instanceof Map)) {
            throw new MalformedException("settings must be a JSON object");
        }
        SettingLookup settings = new JsonSettings(asObject(object.get("settings")));
        REQUIRED_SETTINGS.forEach(settings::text);
        ServerConfiguration configuration =
                new ServerConfiguration(
                        top.text("name"),
                        address(top, "listen"),
                        address(top, "processor"),
                        top.has("records") ? address(top, "records") : null,
                        address(top, "roster"),
                        seed(top.text("seed")),
                        Duration.ofMillis(atLeast(top, "stop_ms", 1)),
                        (int) atLeast(top, "limits.memory_mb", MIN_MEMORY_MB),
                        (int) atLeast(top, "limits.sockets", MIN_DESCRIPTORS),
                        settings);
        configuration.checkSettings(top);
        return configuration;
    }

    private void checkSettings(SettingLookup top) {
        for (int i = 0; i < settings.wholeNumber("classes.count"); i++) {
            atLeast(settings, "classes." + i + ".giveUpNs", 1);
        }
        // Decoding throws an exception that names the first invalid setting.
        Settings.admissionController(settings, new SplittableRandom(seed), false);
        boolean makesCalls = false;
        for (Operation operation : operations().values()) {
            makesCalls |= operation.makesCalls();
        }
        if (makesCalls && recordsAddress == null) {
            top.text("records"); // throws, since the value is missing
        }
    }

    /**
     * Checks that the JVM was sized for the memory limit of this configuration.
     *
     * @param sizedForMb memory limit in MiB for which the start script sized the JVM, or null if it
     *     did not
     * @throws MalformedException if the two limits differ
     */
    public void checkJvmSize(Integer sizedForMb) {
        if (sizedForMb != null && sizedForMb != memoryLimitMb) {
            throw new MalformedException(
                    "limits.memory_mb is "
                            + memoryLimitMb
                            + ", but the start script sized the JVM for "
                            + sizedForMb
                            + ": write the value as plain digits on the same line as its name");
        }
    }

    /** Returns the operations by name, in the order of the configuration. */
    Map<String, Operation> operations() {
        return Settings.operations(settings);
    }

    private static long atLeast(SettingLookup lookup, String name, long min) {
        long value = lookup.wholeNumber(name);
        if (value < min) {
            throw new MalformedException(name + " must be at least " + min + ", but is " + value);
        }
        return value;
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, HEX_RADIX);
        } catch (NumberFormatException e) {
            throw new MalformedException("seed must be up to 16 hex digits, but is '" + text + "'");
        }
    }

    private static InetSocketAddress address(SettingLookup lookup, String name) {
        String text = lookup.text(name);
        int colon = text.lastIndexOf(':');
        if (colon > 0 && text.substring(0, colon).matches(IPV4)) {
            try {
                int port = Integer.parseInt(text.substring(colon + 1));
                if (port > 0) {
                    return new InetSocketAddress(text.substring(0, colon), port);
                }
            } catch (IllegalArgumentException e) {
                throw malformedAddress(name, text);
            }
        }
        throw malformedAddress(name, text);
    }

    private static MalformedException malformedAddress(String name, String text) {
        return new MalformedException(
                name + " must be an IPv4 address and a port (10.0.0.1:80), but is '" + text + "'");
    }
}

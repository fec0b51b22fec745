package ochretiller.fleet.transport;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import ochretiller.settings.MalformedException;

/**
 * The shared keys of a fleet. A seal is an HMAC-SHA-256 (RFC 2104) truncated to 16 bytes. The first
 * key seals and all keys verify, so that keys can be rotated: on all servers, append the new key,
 * then move it to the front, then remove the old one.
 *
 * <p>Thread-safe.
 */
public final class FleetKeys {
    /** Length of a seal in bytes: half the hash, the minimum that RFC 2104, section 5, suggests. */
    public static final int SEAL_BYTES = 16;

    private static final int MIN_KEY_BYTES = 16;
    private static final int MAX_KEYS = 4;
    private static final int MAX_FILE_BYTES = 4096;
    private static final String MAC_ALGORITHM = "HmacSHA256";

    private final List<SecretKeySpec> keys;
    private final ThreadLocal<List<Mac>> macs = ThreadLocal.withInitial(this::createMacs);

    private FleetKeys(List<byte[]> keys) {
        this.keys = keys.stream().map(key -> new SecretKeySpec(key, MAC_ALGORITHM)).toList();
    }

    /** Returns the UTF-8 bytes of texts as keys; their length is not checked. */
    public static FleetKeys of(String... keys) {
        return new FleetKeys(
                Stream.of(keys).map(key -> key.getBytes(StandardCharsets.UTF_8)).toList());
    }

    /**
     * Reads a file with one key per line.
     *
     * @throws MalformedException if the file is invalid; the message has no part of its content
     */
    public static FleetKeys read(Path file) {
        List<byte[]> keys = new ArrayList<>();
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new MalformedException(
                        "fleet key file " + file + " exceeds " + MAX_FILE_BYTES + " bytes");
            }
            for (String line : Files.readAllLines(file)) {
                if (!line.isBlank()) {
                    keys.add(parseKey(file, line));
                }
            }
        } catch (IOException e) {
            throw new MalformedException("cannot read fleet key file " + file);
        }
        if (keys.isEmpty() || keys.size() > MAX_KEYS) {
            throw new MalformedException(
                    "fleet key file "
                            + file
                            + " must have 1 to "
                            + MAX_KEYS
                            + " keys, not "
                            + keys.size());
        }
        return new FleetKeys(keys);
    }

    private static byte[] parseKey(Path file, String line) {
        byte[] key = line.strip().getBytes(StandardCharsets.UTF_8);
        if (key.length < MIN_KEY_BYTES) {
            throw new MalformedException(
                    "fleet key file " + file + " has a key of under " + MIN_KEY_BYTES + " bytes");
        }
        return key;
    }

    private List<Mac> createMacs() {
        List<Mac> initialized = new ArrayList<>();
        try {
            for (SecretKeySpec key : keys) {
                Mac mac = Mac.getInstance(MAC_ALGORITHM);
                mac.init(key);
                initialized.add(mac);
            }
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(MAC_ALGORITHM + " is not available", e);
        }
        return initialized;
    }

    /** Returns the seal of the first {@code length} bytes. */
    byte[] seal(byte[] bytes, int length) {
        return seal(macs.get().get(0), bytes, length);
    }

    private static byte[] seal(Mac mac, byte[] bytes, int length) {
        mac.update(bytes, 0, length);
        return Arrays.copyOf(mac.doFinal(), SEAL_BYTES);
    }

    /** Returns whether the first {@code length} bytes are followed by a valid seal. */
    boolean isAuthentic(byte[] bytes, int length) {
        byte[] receivedSeal = Arrays.copyOfRange(bytes, length, length + SEAL_BYTES);
        for (Mac mac : macs.get()) {
            if (MessageDigest.isEqual(seal(mac, bytes, length), receivedSeal)) {
                return true;
            }
        }
        return false;
    }
}

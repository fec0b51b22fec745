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
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import ochretiller.settings.MalformedException;

/**
 * Keys of a fleet: the first seals, each opens, so that a key is changed by adding the new one
 * behind the old one everywhere, then putting it first, then taking the old one out.
 */
public final class FleetKeys {
    /** Bytes of a seal: half of what the hash gives, as is usual. */
    public static final int SEAL_BYTES = 16;

    /** Shortest key in bytes, and most keys in a file. */
    private static final int MIN_KEY_BYTES = 16;

    private static final int MAX_KEYS = 4;
    private static final int MAX_FILE_BYTES = 4096;
    private static final String MAC_ALGORITHM = "HmacSHA256";

    private final List<SecretKeySpec> keys = new ArrayList<>();
    private final ThreadLocal<List<Mac>> macs = ThreadLocal.withInitial(this::macs);

    private FleetKeys(List<byte[]> all) {
        for (byte[] key : all) {
            keys.add(new SecretKeySpec(key, MAC_ALGORITHM));
        }
    }

    public static FleetKeys of(String... texts) {
        List<byte[]> all = new ArrayList<>();
        for (String text : texts) {
            all.add(text.getBytes(StandardCharsets.UTF_8));
        }
        return new FleetKeys(all);
    }

    /**
     * A key a line; a {@link MalformedException} names what is wrong with the file, never what is
     * in it.
     */
    public static FleetKeys read(Path file) {
        List<byte[]> all = new ArrayList<>();
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new MalformedException("the fleet's key file " + file + " is too long");
            }
            for (String line : Files.readAllLines(file)) {
                if (line.isBlank()) {
                    continue;
                }
                byte[] key = line.strip().getBytes(StandardCharsets.UTF_8);
                if (key.length < MIN_KEY_BYTES) {
                    throw new MalformedException(
                            "the fleet's key file "
                                    + file
                                    + " has a key of under "
                                    + MIN_KEY_BYTES
                                    + " bytes");
                }
                all.add(key);
            }
        } catch (IOException e) {
            throw new MalformedException("cannot read the fleet's key file " + file);
        }
        if (all.isEmpty() || all.size() > MAX_KEYS) {
            throw new MalformedException(
                    "the fleet's key file " + file + " needs 1 to " + MAX_KEYS + " keys");
        }
        return new FleetKeys(all);
    }

    private List<Mac> macs() {
        List<Mac> made = new ArrayList<>();
        try {
            for (SecretKeySpec key : keys) {
                Mac mac = Mac.getInstance(MAC_ALGORITHM);
                mac.init(key);
                made.add(mac);
            }
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e); // each JDK has it
        }
        return made;
    }

    byte[] seal(byte[] bytes, int length) {
        Mac mac = macs.get().get(0);
        mac.update(bytes, 0, length);
        return Arrays.copyOf(mac.doFinal(), SEAL_BYTES);
    }

    boolean isAuthentic(byte[] bytes, int length) {
        byte[] told = Arrays.copyOfRange(bytes, length, length + SEAL_BYTES);
        for (Mac mac : macs.get()) {
            mac.update(bytes, 0, length);
            if (MessageDigest.isEqual(Arrays.copyOf(mac.doFinal(), SEAL_BYTES), told)) {
                return true;
            }
        }
        return false;
    }
}

package ochretiller.contracts;

/**
 * Addresses of IPv4 that begin alike.
 *
 * @param bits the address, its host part zero
 * @param length bits that count, 0 to 32
 */
record AddressPrefix(int bits, int length) {
    /**
     * From {@code 10.1.0.0/16} or a plain address; null for anything else, also where the host part
     * is not zero.
     */
    static AddressPrefix of(String text) {
        int slash = text.indexOf('/');
        String[] parts = (slash < 0 ? text : text.substring(0, slash)).split("\\.", -1);
        if (parts.length != 4) {
            return null;
        }
        int bits = 0;
        for (String part : parts) {
            if (!part.matches("0|[1-9][0-9]{0,2}") || Integer.parseInt(part) > 255) {
                return null;
            }
            bits = bits << 8 | Integer.parseInt(part);
        }
        int length = 32;
        if (slash >= 0) {
            String told = text.substring(slash + 1);
            if (!told.matches("0|[1-9][0-9]?") || Integer.parseInt(told) > 32) {
                return null;
            }
            length = Integer.parseInt(told);
        }
        return (bits & ~mask(length)) == 0 ? new AddressPrefix(bits, length) : null;
    }

    private static int mask(int length) {
        return length == 0 ? 0 : -1 << 32 - length;
    }

    /** Whether one lies in the other. */
    boolean meets(AddressPrefix other) {
        int mask = mask(Math.min(length, other.length));
        return (bits & mask) == (other.bits & mask);
    }

    @Override
    public String toString() {
        return (bits >>> 24)
                + "."
                + (bits >>> 16 & 255)
                + "."
                + (bits >>> 8 & 255)
                + "."
                + (bits & 255)
                + (length == 32 ? "" : "/" + length);
    }
}

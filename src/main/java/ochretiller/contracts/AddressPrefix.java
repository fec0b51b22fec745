package ochretiller.contracts;

/**
 * An IPv4 address prefix, as in CIDR notation.
 *
 * @param bits the address; its host bits are zero
 * @param length number of leading bits that identify the network, 0 to 32
 */
record AddressPrefix(int bits, int length) {
    /**
     * Parses a prefix such as {@code 10.1.0.0/16} or a plain address.
     *
     * @return the prefix, or null if the text is neither or has non-zero host bits
     */
    static AddressPrefix parse(String text) {
        int slash = text.indexOf('/');
        String[] octets = (slash < 0 ? text : text.substring(0, slash)).split("\\.", -1);
        if (octets.length != 4) {
            return null;
        }
        int bits = 0;
        for (String octet : octets) {
            if (!octet.matches("0|[1-9][0-9]{0,2}") || Integer.parseInt(octet) > 255) {
                return null;
            }
            bits = bits << 8 | Integer.parseInt(octet);
        }
        int length = 32;
        if (slash >= 0) {
            String lengthText = text.substring(slash + 1);
            if (!lengthText.matches("0|[1-9][0-9]?") || Integer.parseInt(lengthText) > 32) {
                return null;
            }
            length = Integer.parseInt(lengthText);
        }
        return (bits & ~mask(length)) == 0 ? new AddressPrefix(bits, length) : null;
    }

    private static int mask(int length) {
        return length == 0 ? 0 : -1 << 32 - length;
    }

    /** Returns whether one prefix contains the other. */
    boolean overlaps(AddressPrefix other) {
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

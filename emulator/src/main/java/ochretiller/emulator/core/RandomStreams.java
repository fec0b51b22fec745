package ochretiller.emulator.core;

import java.util.SplittableRandom;

/**
 * Derives an independent random stream for each named component of a simulation. Adding a
 * component, or drawing more often from one stream, does not change the other streams.
 */
public record RandomStreams(long seed) {
    /** Returns a new stream; equal seeds and names give equal streams. */
    public SplittableRandom stream(String name) {
        // FNV-1a; the mixing below separates names that differ in a single character.
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        return new SplittableRandom(new SplittableRandom(seed ^ hash).nextLong());
    }

    /** Draws from an exponential distribution. */
    public static double exponential(SplittableRandom random, double mean) {
        return -Math.log(1 - random.nextDouble()) * mean;
    }

    /**
     * Draws from a log-normal distribution.
     *
     * @param spread standard deviation of the logarithm; with zero, nothing is drawn and the mean
     *     is returned
     */
    public static double logNormal(SplittableRandom random, double mean, double spread) {
        if (spread == 0) {
            return mean;
        }
        // Marsaglia's polar form of the Box-Muller transform. The second of its two values is not
        // cached, so that draws do not depend on one another.
        double x;
        double square;
        do {
            x = 2 * random.nextDouble() - 1;
            double y = 2 * random.nextDouble() - 1;
            square = x * x + y * y;
        } while (square >= 1 || square == 0);
        double normal = x * Math.sqrt(-2 * Math.log(square) / square);
        return mean * Math.exp(spread * normal - spread * spread / 2);
    }
}

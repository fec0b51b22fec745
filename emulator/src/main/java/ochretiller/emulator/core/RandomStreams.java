package ochretiller.emulator.core;

import java.util.SplittableRandom;

/**
 * Chance for each part by its name: one part more, or one that draws more often, changes nothing
 * for the others.
 */
public record RandomStreams(long seed) {
    public SplittableRandom of(String part) {
        long hash = 0xcbf29ce484222325L; // FNV-1a: names that differ in one character are far apart
        // behind the mixing below
        for (int i = 0; i < part.length(); i++) {
            hash = (hash ^ part.charAt(i)) * 0x100000001b3L;
        }
        return new SplittableRandom(new SplittableRandom(seed ^ hash).nextLong());
    }

    /** Exponential by its mean. */
    public static double exponential(SplittableRandom chance, double mean) {
        return -Math.log(1 - chance.nextDouble()) * mean;
    }

    /** Log-normal by its mean and the spread of its logarithm; no spread, no chance. */
    public static double around(SplittableRandom chance, double mean, double spread) {
        if (spread == 0) {
            return mean;
        }
        // Box and Muller's polar form, one of its two; drawn anew each time so that draws do not
        // depend on one another.
        double x;
        double square;
        do {
            x = 2 * chance.nextDouble() - 1;
            double y = 2 * chance.nextDouble() - 1;
            square = x * x + y * y;
        } while (square >= 1 || square == 0);
        double normal = x * Math.sqrt(-2 * Math.log(square) / square);
        return mean * Math.exp(spread * normal - spread * spread / 2);
    }
}

package org.tamaracktrack.core.routing;

import org.tamaracktrack.core.id.TargetId;

/** Derives pseudo-random numbers from seeds and names, without a random source. */
final class SeededHash {
    private static final long FIRST_FACTOR = 0xbf58476d1ce4e5b9L;
    private static final long SECOND_FACTOR = 0x94d049bb133111ebL;
    private static final long STEP = 0x9e3779b97f4a7c15L;

    private SeededHash() {}

    static long mix(long value) {
        long mixed = value + STEP;
        mixed = (mixed ^ (mixed >>> 30)) * FIRST_FACTOR;
        mixed = (mixed ^ (mixed >>> 27)) * SECOND_FACTOR;
        return mixed ^ (mixed >>> 31);
    }

    static int index(long seed, int bound) {
        return (int) Long.remainderUnsigned(mix(seed), bound);
    }

    static long rank(long seed, TargetId target) {
        long hash = seed;
        String name = target.value();
        for (int position = 0; position < name.length(); position++) {
            hash = mix(hash ^ name.charAt(position));
        }
        return mix(hash);
    }
}

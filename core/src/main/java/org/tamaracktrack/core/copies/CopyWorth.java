package org.tamaracktrack.core.copies;

import java.util.Map;
import java.util.Objects;
import java.util.stream.IntStream;
import org.tamaracktrack.core.id.ModelId;

/**
 * What copies of a model are worth, in requests a second that are answered in time because of them.
 * Pure; made anew for each pass of the planner.
 */
final class CopyWorth {
    /**
     * Requests a second for one copy at which half of them are late. An engine holds several
     * models, reads prompts in long pieces, and falls behind well below what it could read in all:
     * with prompts of about 1,000 tokens at 11 a second half of the answers had pauses beyond their
     * objective, at engines that read 38,000 tokens a second.
     */
    private static final double HALF_LATE_RATE = 12;

    /** More copies than this many of one model are not compared at once. */
    private static final int LOOK_AHEAD = 4;

    /** What a first copy is worth to requests that wait now, and to each of them. */
    private static final double WAITING_WORTH = 4;

    private static final double EACH_WAITING_WORTH = 1;

    /**
     * The part of it that counts if only requests ask that can wait for seconds. Counted in full,
     * rarely asked models took every free engine, and a model with twenty requests a second stayed
     * on two of eight engines for ten seconds.
     */
    private static final double PATIENT_SHARE = 0.4;

    /**
     * What a first copy is worth if no engine has one at hand either: it would take the longest.
     */
    private static final double FAR_COPY_WORTH = 0.7;

    /** What the only copy of a model is worth for each request a second to be expected. */
    private static final double ONLY_COPY_WORTH = 2;

    /** What any copy is worth besides. */
    private static final double ANY_COPY_WORTH = 0.03;

    /** What a copy of a model is worth that was never asked for: demand moves on to such. */
    private static final double NEW_COPY_WORTH = 0.6;

    /** The same for one that urgent requests asked for and then fell silent. */
    private static final double SILENT_COPY_WORTH = 0.2;

    /**
     * What an unload costs for each request a second that has to finish first: until then its
     * engine takes no other order.
     */
    private static final double DISTURBANCE_WORTH = 0.3;

    private final CopyPlanner.View view;

    private CopyWorth(CopyPlanner.View view) {
        this.view = view;
    }

    static CopyWorth of(CopyPlanner.View view) {
        Objects.requireNonNull(view, "view is null");
        return new CopyWorth(view);
    }

    /** What one more copy gains, before it is known where. */
    double gain(ModelId model, int copies, boolean atHand) {
        double rate = expected(model);
        if (copies > 0) {
            return best(rate, copies);
        }
        int waits = view.waiting().getOrDefault(model, 0);
        double waiting = waits > 0 ? WAITING_WORTH + EACH_WAITING_WORTH * waits : 0;
        double share = view.askedBy().apply(model) == AskedBy.PATIENT ? PATIENT_SHARE : 1;
        // When the last engine that had a model leaves, nobody notices until it is asked for
        // and takes the longest to load; brought up in a calm moment it is within reach.
        double far = atHand ? 0 : FAR_COPY_WORTH;
        return share * waiting + rate + best(rate, 0) + far;
    }

    /** What is lost without one of the copies. */
    double loss(ModelId model, int copies) {
        double rate = expected(model);
        if (copies == 1) {
            return onlyCopyWorth(view.askedBy().apply(model)) + ONLY_COPY_WORTH * rate;
        }
        double quick = view.quick().getOrDefault(model, 0.0);
        // In the first seconds every rate is small, also that of the busiest model, whose copies
        // were placed in advance; taken for unasked, they were unloaded as the day began.
        boolean unsure = !view.settled() || view.askedBy().apply(model) == AskedBy.NOBODY;
        return (unsure ? NEW_COPY_WORTH : ANY_COPY_WORTH)
                + DISTURBANCE_WORTH * quick / copies
                + inTime(rate, copies)
                - inTime(rate, copies - 1);
    }

    private double expected(ModelId model) {
        Map<ModelId, Double> expected = view.expected();
        return expected.getOrDefault(model, 0.0);
    }

    // The first copies of a very busy model are swamped and gain little by themselves; the ones
    // after them make them useful. So each counts as the average of the best row that it begins.
    private static double best(double rate, int copies) {
        return IntStream.rangeClosed(1, LOOK_AHEAD)
                .mapToDouble(more -> (inTime(rate, copies + more) - inTime(rate, copies)) / more)
                .max()
                .orElse(0);
    }

    /** Requests a second that are answered in time by this many copies. */
    private static double inTime(double rate, int copies) {
        if (copies == 0) {
            return 0;
        }
        double load = rate / copies / HALF_LATE_RATE;
        return rate / (1 + load * load);
    }

    private static double onlyCopyWorth(AskedBy askedBy) {
        return switch (askedBy) {
            case NOBODY -> NEW_COPY_WORTH;
            case PATIENT -> ANY_COPY_WORTH;
            case URGENT -> SILENT_COPY_WORTH;
        };
    }
}

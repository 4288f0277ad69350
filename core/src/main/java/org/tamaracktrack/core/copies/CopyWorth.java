package org.tamaracktrack.core.copies;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.ModelId;

/**
 * What copies of models are worth, in requests a second that are answered in time because of them.
 * Pure; made anew for each pass of the planner.
 */
final class CopyWorth {
    /**
     * What demand that may come back counts against demand that is here: a copy that is kept for it
     * saves the seconds until one would be loaded, of the many for which demand then stays. Counted
     * in full, a model that nobody asks for would keep engines from one that many ask for.
     */
    private static final double RETURNING_SHARE = 0.2;

    /** What a first copy is worth to requests that wait now, and to each of them. */
    private static final double WAITING_WORTH = 4;

    private static final double EACH_WAITING_WORTH = 1;

    /**
     * The part of it that counts if only requests ask that can wait for seconds. Counted in full,
     * rarely asked models would take every free engine.
     */
    private static final double PATIENT_SHARE = 0.4;

    /**
     * What a first copy is worth if no engine has one at hand either: it would take the longest.
     */
    private static final double FAR_COPY_WORTH = 0.7;

    /**
     * What the only copy of a model is worth for each request a second to be expected. Worth less,
     * it is displaced by busy models, and its next request displaces another only copy.
     */
    private static final double ONLY_COPY_WORTH = 5;

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
    private final Map<ModelId, List<TargetIncarnation>> copies;
    private final Map<ModelId, Double> rates = new HashMap<>();
    private final EngineLoads loads;

    private CopyWorth(CopyPlanner.View view, Map<ModelId, List<TargetIncarnation>> copies) {
        this.view = view;
        this.copies = copies;
        rates.putAll(view.quick());
        view.expected()
                .forEach((model, rate) -> rates.merge(model, RETURNING_SHARE * rate, Math::max));
        this.loads = EngineLoads.of(copies, rates, view.busyRate());
    }

    static CopyWorth of(CopyPlanner.View view, Map<ModelId, List<TargetIncarnation>> copies) {
        Objects.requireNonNull(view, "view is null");
        Objects.requireNonNull(copies, "copies is null");
        return new CopyWorth(view, copies);
    }

    private double rate(ModelId model) {
        return rates.getOrDefault(model, 0.0);
    }

    private int count(ModelId model) {
        return copies.getOrDefault(model, List.of()).size();
    }

    /** Whether a model has just one copy. */
    boolean onlyCopy(ModelId model) {
        return count(model) == 1;
    }

    /** The most that spreading a model's requests over one more copy can gain. */
    double mostSpread(ModelId model) {
        return count(model) == 0 ? rate(model) : Math.min(rate(model), loads.late(model));
    }

    /**
     * What more requests are in time since they spread over one more copy.
     *
     * @param model the model
     * @param engine where the copy would be
     * @param freed requests a second that the engine no longer gets, since copies make room
     * @return requests a second
     */
    double spread(ModelId model, TargetIncarnation engine, double freed) {
        return loads.gain(model, rate(model), engine, freed);
    }

    /**
     * What a copy is worth besides if it is the first one.
     *
     * @param model the model
     * @param atHand whether some engine could load it without the weight store
     * @return requests a second; 0 when there is a copy
     */
    double first(ModelId model, boolean atHand) {
        if (count(model) > 0) {
            return 0;
        }
        int waits = view.waiting().getOrDefault(model, 0);
        double waiting = waits > 0 ? WAITING_WORTH + EACH_WAITING_WORTH * waits : 0;
        double share = view.askedBy().apply(model) == AskedBy.PATIENT ? PATIENT_SHARE : 1;
        // When the last engine that had a model leaves, nobody notices until it is asked for
        // and takes the longest to load; brought up in a calm moment it is within reach.
        double far = atHand ? 0 : FAR_COPY_WORTH;
        return share * waiting + rate(model) + far;
    }

    /** Requests a second that a copy takes off the others. */
    double share(ModelId model, TargetIncarnation engine) {
        return loads.share(model, engine);
    }

    /** What is lost without one of the copies. */
    double loss(ModelId model, TargetIncarnation engine) {
        if (count(model) <= 1) {
            return onlyCopyWorth(view.askedBy().apply(model)) + ONLY_COPY_WORTH * rate(model);
        }
        double running = Math.min(view.quick().getOrDefault(model, 0.0), share(model, engine));
        // In the first seconds every rate is small, also that of the busiest model, whose copies
        // were placed in advance; taken for unasked, they were unloaded as the day began.
        boolean unsure = !view.settled() || view.askedBy().apply(model) == AskedBy.NOBODY;
        return (unsure ? NEW_COPY_WORTH : ANY_COPY_WORTH)
                + DISTURBANCE_WORTH * running
                + loads.loss(model, engine);
    }

    private static double onlyCopyWorth(AskedBy askedBy) {
        return switch (askedBy) {
            case NOBODY -> NEW_COPY_WORTH;
            case PATIENT -> ANY_COPY_WORTH;
            case URGENT -> SILENT_COPY_WORTH;
        };
    }
}

package org.tamaracktrack.core.copies;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.ModelId;

/**
 * Computes the value of model replicas, in requests per second that they cause to be answered in
 * time. Has no side effects; created for each planning pass.
 */
final class ReplicaValue {
    /**
     * Weight of demand that may return against current demand. A replica that is kept for returning
     * demand saves only the seconds of a load, out of the longer time for which demand then stays.
     * With full weight, an unrequested model would keep engines from a model with many requests.
     */
    private static final double RETURNING_DEMAND_FACTOR = 0.2;

    /** Value of a first replica when any request waits for it. */
    private static final double WAITING_VALUE = 4;

    /** Value of a first replica for each request that waits for it. */
    private static final double VALUE_PER_WAITING_REQUEST = 1;

    /**
     * Factor for the waiting value when only requests that can wait for seconds use the model.
     * Without it, rarely requested models would occupy every free engine.
     */
    private static final double PATIENT_FACTOR = 0.4;

    /**
     * Value of a first replica when no engine can load the model locally, since such a load takes
     * the longest.
     */
    private static final double STORE_ONLY_VALUE = 0.7;

    /**
     * Value of a model's only replica per expected request per second. With a lower value it is
     * displaced by busy models, and its next request displaces another only replica.
     */
    private static final double ONLY_REPLICA_FACTOR = 5;

    /** Value that every replica has in addition. */
    private static final double BASE_REPLICA_VALUE = 0.03;

    /** Value of a replica of a model that was never requested. Demand moves on to such models. */
    private static final double NEVER_REQUESTED_VALUE = 0.6;

    /**
     * Value of the only replica of a model that was used by urgent requests, in addition to that of
     * its current demand.
     */
    private static final double FORMERLY_URGENT_VALUE = 0.2;

    /**
     * Cost of an unload per request per second that has to finish first. Until then the engine
     * accepts no other order.
     */
    private static final double UNLOAD_COST_FACTOR = 0.3;

    /** Share of late urgent requests from which patient requests have their minimum weight. */
    private static final double LATE_SHARE_OF_SHORTAGE = 0.25;

    /** Minimum weight of patient requests, so that they still differ from no requests. */
    private static final double MIN_PATIENT_WEIGHT = 0.2;

    private final ReplicaPlanner.View view;
    private final Map<ModelId, List<TargetIncarnation>> replicas;
    private final Map<ModelId, Double> rates = new HashMap<>();
    private final EngineLoads loads;
    private final double patientWeight;

    private ReplicaValue(ReplicaPlanner.View view, Map<ModelId, List<TargetIncarnation>> replicas) {
        this.view = view;
        this.replicas = replicas;
        rates.putAll(view.shortTermRates());
        view.expectedRates()
                .forEach(
                        (model, rate) ->
                                rates.merge(model, RETURNING_DEMAND_FACTOR * rate, Math::max));
        this.loads = EngineLoads.of(replicas, rates, view.saturationRate(), view.workFactors());
        this.patientWeight =
                view.admissionControl() ? patientWeight(loads.lateShare(view.urgentRates())) : 1;
    }

    private static double patientWeight(double lateShare) {
        return Math.max(MIN_PATIENT_WEIGHT, 1 - lateShare / LATE_SHARE_OF_SHORTAGE);
    }

    static ReplicaValue of(
            ReplicaPlanner.View view, Map<ModelId, List<TargetIncarnation>> replicas) {
        Objects.requireNonNull(view, "view is null");
        Objects.requireNonNull(replicas, "replicas is null");
        return new ReplicaValue(view, replicas);
    }

    private double rate(ModelId model) {
        return rates.getOrDefault(model, 0.0);
    }

    private int replicaCount(ModelId model) {
        return replicas.getOrDefault(model, List.of()).size();
    }

    /** Returns whether a model has exactly one replica. */
    boolean isOnlyReplica(ModelId model) {
        return replicaCount(model) == 1;
    }

    /**
     * Returns the maximum gain of distributing a model's requests over one more replica, in
     * requests per second.
     */
    double maxSpreadGain(ModelId model) {
        return spreadWeight(model)
                * (replicaCount(model) == 0
                        ? rate(model)
                        : Math.min(rate(model), loads.lateRate(model)));
    }

    /**
     * Returns the weight of the requests of a model in the gain of one more replica: less than 1
     * for patient requests while urgent requests are late.
     */
    private double spreadWeight(ModelId model) {
        double patientRate =
                view.shortTermRates().getOrDefault(model, 0.0)
                        - view.urgentRates().getOrDefault(model, 0.0);
        return patientWeight == 1 || patientRate <= 0
                ? 1
                : 1 - (1 - patientWeight) * patientRate / rate(model);
    }

    /**
     * Returns whether a replica must stay for urgent requests of the last seconds, which the other
     * replicas of the model can't take in time. Always false without admission control.
     */
    boolean isNeededUrgently(ModelId model, TargetIncarnation engine) {
        return view.admissionControl()
                && view.isUsedUrgently(model)
                && !loads.othersSuffice(model, engine);
    }

    /**
     * Returns how many more requests are answered in time when they are distributed over one more
     * replica.
     *
     * @param model the model
     * @param engine the engine of the additional replica
     * @param freed requests per second that the engine no longer receives because replicas are
     *     unloaded
     * @return the gain in requests per second
     */
    double spreadGain(ModelId model, TargetIncarnation engine, double freed) {
        return spreadWeight(model) * loads.gain(model, rate(model), engine, freed);
    }

    /**
     * Returns the additional value of a replica that is the model's first.
     *
     * @param model the model
     * @param locallyAvailable whether at least one engine can load the model without the weight
     *     store
     * @return the value in requests per second; 0 when a replica exists
     */
    double firstReplicaValue(ModelId model, boolean locallyAvailable) {
        if (replicaCount(model) > 0) {
            return 0;
        }
        int waitingRequests = view.waiting().getOrDefault(model, 0);
        double waitingValue =
                waitingRequests > 0
                        ? WAITING_VALUE + VALUE_PER_WAITING_REQUEST * waitingRequests
                        : 0;
        double urgencyFactor =
                view.demandUrgency().apply(model) == DemandUrgency.PATIENT ? PATIENT_FACTOR : 1;
        // When the last engine with a local copy of a model leaves, the next request for the model
        // waits for the longest kind of load. Loading the model while demand is low avoids that
        // wait.
        double storeOnlyValue = locallyAvailable ? 0 : STORE_ONLY_VALUE;
        return urgencyFactor * waitingValue + rate(model) + storeOnlyValue;
    }

    /** Returns the requests per second that a replica serves. */
    double share(ModelId model, TargetIncarnation engine) {
        return loads.share(model, engine);
    }

    /** Returns the loss in requests per second when one of the replicas is unloaded. */
    double loss(ModelId model, TargetIncarnation engine) {
        if (replicaCount(model) <= 1) {
            return onlyReplicaValue(view.demandUrgency().apply(model))
                    + ONLY_REPLICA_FACTOR * rate(model);
        }
        double disturbedRate =
                Math.min(view.shortTermRates().getOrDefault(model, 0.0), share(model, engine));
        // In the first seconds all rates are small, also that of the busiest model, whose replicas
        // were placed in advance. Without this check those replicas were unloaded as unrequested
        // when demand began.
        boolean demandUnknown =
                !view.demandSettled() || view.demandUrgency().apply(model) == DemandUrgency.NONE;
        return (demandUnknown ? NEVER_REQUESTED_VALUE : BASE_REPLICA_VALUE)
                + UNLOAD_COST_FACTOR * disturbedRate
                + loads.loss(model, engine);
    }

    private static double onlyReplicaValue(DemandUrgency urgency) {
        return switch (urgency) {
            case NONE -> NEVER_REQUESTED_VALUE;
            case PATIENT -> BASE_REPLICA_VALUE;
            case URGENT -> FORMERLY_URGENT_VALUE;
        };
    }
}

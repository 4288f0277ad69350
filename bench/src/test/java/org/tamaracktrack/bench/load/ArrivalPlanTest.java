package org.tamaracktrack.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

class ArrivalPlanTest {
    private static final long DURATION_MILLIS = 30_000;

    private static List<Arrival> plan(long seed, double loadFactor, boolean surge) {
        return ArrivalPlan.of(
                UserProfile.CEVALLOS, Speed.EXPERIMENT, seed, DURATION_MILLIS, loadFactor, surge);
    }

    private static long countBetween(List<Arrival> arrivals, long from, long to) {
        return arrivals.stream()
                .filter(arrival -> arrival.atMillis() >= from && arrival.atMillis() < to)
                .count();
    }

    private static long countToModelInSecondHalf(List<Arrival> arrivals, String model) {
        return arrivals.stream()
                .filter(arrival -> arrival.atMillis() > DURATION_MILLIS / 2.0)
                .filter(arrival -> arrival.request().model().equals(model))
                .count();
    }

    @Test
    void shouldReturnEqualArrivalsForEqualSeeds() {
        assertThat(plan(7, 1, false)).isEqualTo(plan(7, 1, false));
        assertThat(plan(7, 1, false)).isNotEqualTo(plan(8, 1, false));
    }

    @Test
    void shouldReturnArrivalsInOrderOfTime() {
        assertThat(plan(7, 1, false)).isInOrder(Comparator.comparingDouble(Arrival::atMillis));
    }

    @Test
    void shouldPeakInTheMiddleThirdAtTheGivenLoadFactor() {
        List<Arrival> arrivals = plan(7, 1, false);
        double thirdSeconds = DURATION_MILLIS / 3000.0;
        double peakPerSecond =
                countBetween(arrivals, DURATION_MILLIS / 3, 2 * DURATION_MILLIS / 3) / thirdSeconds;
        double expectedPerSecond =
                Speed.EXPERIMENT.engineRequestsPerSecond() * UserProfile.CEVALLOS.engines();
        assertThat(peakPerSecond).isWithin(0.1 * expectedPerSecond).of(expectedPerSecond);
        assertThat(countBetween(arrivals, 0, DURATION_MILLIS / 3) / thirdSeconds)
                .isLessThan(0.6 * expectedPerSecond);
    }

    @Test
    void shouldRaiseTheDemandOfOneModelWhenItSurges() {
        long withoutSurge = countToModelInSecondHalf(plan(7, 1, false), "model-12");
        long withSurge = countToModelInSecondHalf(plan(7, 1, true), "model-12");
        assertThat(withSurge).isGreaterThan(4 * withoutSurge);
    }

    @Test
    void shouldNameOnlyAdaptersOfTheRequestedModel() {
        plan(7, 1, false).stream()
                .map(Arrival::request)
                .filter(request -> request.adapter().isPresent())
                .forEach(
                        request -> {
                            int adapter =
                                    UserProfile.CEVALLOS
                                            .adapterNames()
                                            .indexOf(request.adapter().orElseThrow());
                            String base =
                                    UserProfile.CEVALLOS
                                            .modelNames()
                                            .get(UserProfile.CEVALLOS.baseModelIndex(adapter));
                            assertThat(base).isEqualTo(request.model());
                        });
    }
}

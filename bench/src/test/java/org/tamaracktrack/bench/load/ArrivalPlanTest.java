package org.tamaracktrack.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

class ArrivalPlanTest {
    private static final long DURATION_MILLIS = 30_000;

    private static List<Arrival> plan(long seed, double load, boolean surge) {
        return ArrivalPlan.of(
                UserProfile.CEVALLOS, Speed.EXPERIMENT, seed, DURATION_MILLIS, load, surge);
    }

    private static long between(List<Arrival> arrivals, long from, long to) {
        return arrivals.stream()
                .filter(arrival -> arrival.atMillis() >= from && arrival.atMillis() < to)
                .count();
    }

    private static long toModel(List<Arrival> arrivals, String model) {
        return arrivals.stream()
                .filter(arrival -> arrival.atMillis() > DURATION_MILLIS / 2.0)
                .filter(arrival -> arrival.request().model().equals(model))
                .count();
    }

    @Test
    void shouldBeTheSameForTheSameSeed() {
        assertThat(plan(7, 1, false)).isEqualTo(plan(7, 1, false));
        assertThat(plan(7, 1, false)).isNotEqualTo(plan(8, 1, false));
    }

    @Test
    void shouldBeInOrder() {
        assertThat(plan(7, 1, false)).isInOrder(Comparator.comparingDouble(Arrival::atMillis));
    }

    @Test
    void shouldPeakInTheMiddleAtTheLoadThatIsAskedFor() {
        List<Arrival> arrivals = plan(7, 1, false);
        double seconds = DURATION_MILLIS / 3000.0;
        double peak = between(arrivals, DURATION_MILLIS / 3, 2 * DURATION_MILLIS / 3) / seconds;
        double wanted = Speed.EXPERIMENT.engineRate() * UserProfile.CEVALLOS.engines();
        assertThat(peak).isWithin(0.1 * wanted).of(wanted);
        assertThat(between(arrivals, 0, DURATION_MILLIS / 3) / seconds).isLessThan(0.6 * wanted);
    }

    @Test
    void shouldRaiseTheDemandOfOneModelWhenItSurges() {
        long calm = toModel(plan(7, 1, false), "model-12");
        long surging = toModel(plan(7, 1, true), "model-12");
        assertThat(surging).isGreaterThan(4 * calm);
    }

    @Test
    void shouldAskOnlyForAdaptersOfTheModel() {
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
                                            .get(UserProfile.CEVALLOS.baseOf(adapter));
                            assertThat(base).isEqualTo(request.model());
                        });
    }
}

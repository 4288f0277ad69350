package org.tamaracktrack.core.route;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.ServiceId;

class RouteTableTest {
    private static final ServiceId SERVICE = ServiceId.of("lookup");

    static Route route(String name, String host, String prefix, WeightedService... services) {
        return new Route(
                name,
                host,
                prefix,
                RouteKind.IDEMPOTENT,
                false,
                1_000,
                100,
                0,
                2,
                false,
                services.length == 0
                        ? List.of(new WeightedService(SERVICE, 1))
                        : List.of(services));
    }

    @Nested
    class Find {
        private final RouteTable table =
                RouteTable.of(
                        List.of(
                                route("all", "a.example", "/"),
                                route("orders", "a.example", "/orders/"),
                                route("open", "a.example", "/orders/open/"),
                                route("other", "b.example", "/orders/open/now/")));

        @Test
        void shouldSelectTheLongestPrefixOfTheHostWhenSeveralMatch() {
            assertThat(table.find("a.example", "/orders/open/now/7").orElseThrow().name())
                    .isEqualTo("open");
            assertThat(table.find("a.example", "/orders/7").orElseThrow().name())
                    .isEqualTo("orders");
            assertThat(table.find("a.example", "/7").orElseThrow().name()).isEqualTo("all");
        }

        @Test
        void shouldFindNothingWhenHostOrPrefixDoNotMatch() {
            assertThat(table.find("c.example", "/orders/7")).isEmpty();
            assertThat(table.find("b.example", "/orders/7")).isEmpty();
        }
    }

    @Nested
    class WeightedSplit {

        @Test
        void shouldSelectServicesInProportionToTheirWeights() {
            ServiceId rare = ServiceId.of("rare");
            Route split =
                    route(
                            "split",
                            "a.example",
                            "/",
                            new WeightedService(SERVICE, 90),
                            new WeightedService(rare, 10));

            long toRare =
                    IntStream.range(0, 100)
                            .filter(draw -> split.service(draw / 100.0).equals(rare))
                            .count();

            assertThat(toRare).isEqualTo(10);
        }

        @Test
        void shouldSelectAServiceWhenAllWeightsAreZero() {
            Route split = route("zero", "a.example", "/", new WeightedService(SERVICE, 0));

            assertThat(split.service(0.5)).isEqualTo(SERVICE);
        }
    }
}

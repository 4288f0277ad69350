package org.tamaracktrack.daemon.copies;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tamaracktrack.core.copies.DemandTracker;
import org.tamaracktrack.core.fleet.HeldModel;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.lease.ConditionalLease.Contact;
import org.tamaracktrack.core.lease.ConditionalLease.LeaseRecord;
import org.tamaracktrack.link.codec.JsonFields;

class DutyRecordsTest {
    private static final ModelId MODEL = ModelId.of("model");

    private static final DemandTracker.DemandCounts NO_COUNTS =
            new DemandTracker.DemandCounts(Map.of(), Map.of(), Map.of());

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Nested
    class LeaseRecords {

        @Test
        void shouldDecodeAnEncodedRecord() {
            LeaseRecord record =
                    new LeaseRecord(
                            "host", 7, true, false, 3, Optional.of(new Contact("10.0.0.1:9", "s")));

            assertThat(DutyRecords.decodeLease(DutyRecords.encode(record)))
                    .isEqualTo(Optional.of(record));
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "{", "[]", "{\"term\":1}", "{\"holder\":1}"})
        void shouldReturnEmptyWhenBytesAreNotARecord(String text) {
            assertThat(DutyRecords.decodeLease(bytes(text))).isEmpty();
        }
    }

    @Nested
    class DemandRecords {

        @Test
        void shouldDecodeAnEncodedRecord() {
            ModelNeed need = new ModelNeed(MODEL, Optional.of(AdapterId.of("adapter")));
            DutyRecords.DemandRecord record =
                    new DutyRecords.DemandRecord(
                            "host",
                            new DemandTracker.DemandCounts(
                                    Map.of(need, 2), Map.of(), Map.of(need, 1)),
                            Map.of());

            assertThat(DutyRecords.decodeDemand(DutyRecords.encode(record)))
                    .isEqualTo(Optional.of(record));
        }

        @Test
        void shouldDecodeAnEncodedRecordWithWorkFactors() {
            DutyRecords.DemandRecord record =
                    new DutyRecords.DemandRecord(
                            "host",
                            NO_COUNTS,
                            Map.of(
                                    new TargetIncarnation(TargetId.of("one"), 5), 1.6,
                                    new TargetIncarnation(TargetId.of("one"), 6), 0.65));

            assertThat(DutyRecords.decodeDemand(DutyRecords.encode(record)))
                    .isEqualTo(Optional.of(record));
        }

        // Guards against larger records in deployments whose targets report no work time.
        @Test
        void shouldEncodeNoAdditionalFieldWithoutWorkFactors() {
            Map<String, Object> fields =
                    Map.of(
                            "process", "host",
                            "urgent", Map.of(),
                            "patient", Map.of(),
                            "waiting", Map.of());

            assertThat(
                            DutyRecords.encode(
                                    new DutyRecords.DemandRecord("host", NO_COUNTS, Map.of())))
                    .isEqualTo(JsonFields.write(fields));
        }

        // Guards against a record whose request counts are lost because of one unreadable factor.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "1",
                    "{}",
                    "[1]",
                    "[[]]",
                    "[[\"one\"]]",
                    "[[\"one\",5]]",
                    "[[\"\",5,1.6]]",
                    "[[\"one\",1.5,1.6]]",
                    "[[\"one\",5,\"1.6\"]]",
                    "[[\"one\",1e40,1.6]]"
                })
        void shouldOmitUnreadableWorkFactors(String factors) {
            DutyRecords.DemandRecord record =
                    DutyRecords.decodeDemand(
                                    bytes(
                                            "{\"process\":\"p\",\"urgent\":{\"model\":2},"
                                                    + "\"factors\":"
                                                    + factors
                                                    + "}"))
                            .orElseThrow();

            assertThat(record.workFactors()).isEmpty();
            assertThat(record.counts().urgent())
                    .containsExactly(new ModelNeed(MODEL, Optional.empty()), 2);
        }

        @Test
        void shouldOmitAnInvalidName() {
            DutyRecords.DemandRecord record =
                    DutyRecords.decodeDemand(
                                    bytes("{\"process\":\"p\",\"urgent\":{\"\":1,\"model\":2}}"))
                            .orElseThrow();

            assertThat(record.counts().urgent())
                    .containsExactly(new ModelNeed(MODEL, Optional.empty()), 2);
        }
    }

    @Nested
    class HoldingRecords {
        private final TargetIncarnation engine = new TargetIncarnation(TargetId.of("engine"), 5);

        @Test
        void shouldDecodeAnEncodedRecord() {
            DutyRecords.Holding holding =
                    new DutyRecords.Holding(
                            engine,
                            Optional.of(
                                    TargetEntry.indexByModel(
                                            List.of(
                                                    new HeldModel(
                                                            MODEL,
                                                            Set.of(AdapterId.of("adapter")))))));

            assertThat(DutyRecords.decodeHolding(DutyRecords.encode(holding)))
                    .isEqualTo(Optional.of(holding));
        }

        @Test
        void shouldDistinguishNoModelsFromUnknownModels() {
            DutyRecords.Holding empty = new DutyRecords.Holding(engine, Optional.of(Map.of()));
            DutyRecords.Holding unknown = new DutyRecords.Holding(engine, Optional.empty());

            assertThat(DutyRecords.decodeHolding(DutyRecords.encode(empty)))
                    .isEqualTo(Optional.of(empty));
            assertThat(DutyRecords.decodeHolding(DutyRecords.encode(unknown)))
                    .isEqualTo(Optional.of(unknown));
        }

        // Guards against one unreadable record that prevents the others of its message from being
        // applied.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "{\"started\":1}",
                    "{\"target\":\"\"}",
                    "{\"target\":\"t\",\"models\":{\"\":[]}}",
                    "{\"target\":\"t\",\"models\":{\"m\":[{}]}}"
                })
        void shouldReturnEmptyWhenBytesAreNotARecord(String text) {
            assertThat(DutyRecords.decodeHolding(bytes(text))).isEmpty();
        }
    }
}

package org.tamaracktrack.daemon.load;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.dispatch.LoadShare;
import org.tamaracktrack.core.dispatch.Peer;
import org.tamaracktrack.core.dispatch.RelayedReport;
import org.tamaracktrack.core.dispatch.ReportedLoad;
import org.tamaracktrack.core.dispatch.WorkTime;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.TargetId;

class LoadRecordTest {

    @Property(tries = 100, seed = "31")
    void shouldDecodeEncodedRecord(
            @ForAll @IntRange(min = 0, max = 1_000) int outstanding,
            @ForAll @IntRange(min = 0) int tokens,
            @ForAll @DoubleRange(min = 0.1, max = WorkTime.MAX_PERCENT) double percent) {
        TargetIncarnation engine = new TargetIncarnation(TargetId.of("engine"), 7);
        LoadRecord record =
                new LoadRecord(
                        "process",
                        Map.of(engine, new LoadShare(outstanding, tokens)),
                        List.of(
                                new RelayedReport(
                                        engine,
                                        new ReportedLoad(
                                                outstanding, 2, WorkTime.ofPercent(percent)),
                                        30)));

        assertThat(LoadRecord.decode(record.encode())).isEqualTo(record);
    }

    // Guards against received bytes that end the thread with an unexpected exception.
    @Property(tries = 500, seed = "32")
    void shouldThrowProjectExceptionWhenBytesAreInvalid(@ForAll @Size(max = 60) byte[] bytes) {
        try {
            LoadRecord.decode(bytes);
        } catch (TamaracktrackException refused) {
            assertThat(refused.code()).isNotNull();
        }
        try {
            PeerRecord.decode(bytes);
        } catch (TamaracktrackException refused) {
            assertThat(refused.code()).isNotNull();
        }
    }

    @Test
    void shouldDecodeEncodedPeers() {
        Set<Peer> peers =
                Set.of(
                        Peer.of("one", DataCentreId.of("home"), "10.0.0.1:1"),
                        Peer.of("two", DataCentreId.of("away"), "10.0.0.2:1"));

        assertThat(PeerRecord.decode(PeerRecord.encode(peers))).isEqualTo(peers);
    }

    @Test
    void shouldRejectNegativeLoad() {
        assertThrows(IllegalArgumentException.class, () -> new LoadShare(-1, 0));
    }
}

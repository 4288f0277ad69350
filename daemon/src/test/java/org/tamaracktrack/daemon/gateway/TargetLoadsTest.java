package org.tamaracktrack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.dispatch.RelayedReport;
import org.tamaracktrack.core.dispatch.ReportedLoad;
import org.tamaracktrack.core.dispatch.WorkTime;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.TargetId;

class TargetLoadsTest {
    private static final TargetIncarnation SLOW = new TargetIncarnation(TargetId.of("slow"), 0);
    private static final TargetIncarnation SILENT = new TargetIncarnation(TargetId.of("silent"), 0);
    private static final ReportedLoad REPORT =
            new ReportedLoad(1, 0, Optional.of(new WorkTime(160)));

    private long nowMillis = 1_000;
    private final TargetLoads loads = TargetLoads.empty(() -> nowMillis);

    @Test
    void shouldReturnTheWorkFactorsOfTargetsThatReportThem() {
        loads.of(SLOW).recordReport(REPORT, nowMillis);
        loads.of(SLOW).recordContact(nowMillis);
        loads.of(SILENT).recordContact(nowMillis);

        assertThat(loads.workFactors()).isEqualTo(Map.of(SLOW, 1.6));
    }

    // Guards against an outdated factor that replaces the current one of a daemon that still sends
    // requests to the target.
    @Test
    void shouldOmitTargetsWithoutRecentContact() {
        loads.recordPeerReport(new RelayedReport(SILENT, REPORT, 0));
        loads.of(SLOW).recordReport(REPORT, nowMillis);
        loads.of(SLOW).recordContact(nowMillis);
        nowMillis += 10_001;

        assertThat(loads.workFactors()).isEmpty();
    }
}

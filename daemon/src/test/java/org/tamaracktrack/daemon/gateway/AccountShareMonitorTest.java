package org.tamaracktrack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.admission.SharedAccountUsage;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;

class AccountShareMonitorTest {
    private static final ServiceId SERVICE = ServiceId.of("drafts");
    private static final ClientAccountId LARGE = ClientAccountId.of("large");
    private static final Logger LOG = Logger.getLogger("tamaracktrack.accounts");

    private final SharedAccountUsage usage = SharedAccountUsage.empty();
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final LineCollector lines = new LineCollector();
    private boolean exchanged = true;
    private final AccountShareMonitor monitor =
            AccountShareMonitor.of(usage, GatewayMetrics.of(registry), () -> exchanged);

    private static final class LineCollector extends Handler {
        private final List<String> lines = new ArrayList<>();

        @Override
        public void publish(LogRecord line) {
            lines.add(line.getMessage());
        }

        @Override
        public void flush() {
            // Lines are kept in memory.
        }

        @Override
        public void close() {
            // There is nothing to release.
        }
    }

    @BeforeEach
    void collectLines() {
        LOG.addHandler(lines);
        usage.recordSent(SERVICE, LARGE, 800);
        usage.recordSent(SERVICE, ClientAccountId.of("one"), 100);
        usage.recordSent(SERVICE, ClientAccountId.of("two"), 100);
    }

    @AfterEach
    void removeHandler() {
        LOG.removeHandler(lines);
    }

    // Guards against a log that repeats the same finding each second.
    @Test
    void shouldLogOnceWhenAccountRisesAboveShareAndOnceWhenItFalls() {
        monitor.check(0);
        monitor.check(1_000);
        assertThat(lines.lines)
                .containsExactly(
                        "event=account-over-share service=drafts account=large excess=2.4"
                                + " own_tokens=800 peer_tokens=0");

        usage.recordEnd(SERVICE, LARGE, 700);
        monitor.check(2_000);
        monitor.check(3_000);
        assertThat(lines.lines).hasSize(2);
        assertThat(lines.lines.get(1))
                .isEqualTo(
                        "event=account-within-share service=drafts account=large excess=1.0"
                                + " own_tokens=100 peer_tokens=0");
    }

    // Guards against metrics that grow with each account that was ever in use.
    @Test
    void shouldPublishExcessOnlyWhileUsageIsExchanged() {
        monitor.check(0);
        assertThat(registry.get("tamaracktrack.gateway.account.excess").gauges()).hasSize(3);

        exchanged = false;
        monitor.check(1_000);
        assertThat(registry.getMeters()).isEmpty();
    }
}

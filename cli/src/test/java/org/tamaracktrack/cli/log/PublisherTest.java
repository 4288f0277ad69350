package org.tamaracktrack.cli.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.config.ConfigurationEvent;
import org.tamaracktrack.core.config.ConfigurationInForce;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.PublicationId;
import org.tamaracktrack.core.log.LogEntry.Publication;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.codec.ConfigurationDocuments;

class PublisherTest {
    private static final String DOCUMENT = sample();

    private final FakeLog log = new FakeLog();

    private static String sample() {
        try {
            String yaml = Files.readString(Path.of("../docs/sample-configuration.yaml"));
            return ConfigurationDocuments.canonicalJson(ConfigurationDocuments.parseYaml(yaml));
        } catch (IOException failure) {
            throw new AssertionError(failure);
        }
    }

    private static RetryTimer attempts(int retries) {
        AtomicInteger remaining = new AtomicInteger(retries);
        return () -> remaining.getAndDecrement() > 0;
    }

    private static Publication publication(String id, long basedOn) {
        return new Publication(PublicationId.of(id), basedOn, DOCUMENT, "operator", "");
    }

    private ConfigurationEvent publish(Publication publication) {
        return Publisher.of(log, ConfigurationLog.of(log), attempts(20)).publish(publication);
    }

    private long inForce() {
        ConfigurationLog reader = ConfigurationLog.of(log);
        reader.readToEnd(attempts(0));
        return reader.inForce().map(ConfigurationInForce::version).orElse(-1L);
    }

    private boolean isInForce(String id) {
        long version = inForce();
        return version >= 0
                && log.records(LogStream.CONFIGURATION).get((int) version).entry()
                        instanceof Publication publication
                && publication.publication().value().equals(id);
    }

    @Test
    void shouldReportAcceptedWhenReadBack() {
        assertThat(publish(publication("mine", -1)))
                .isInstanceOf(ConfigurationEvent.Accepted.class);
    }

    // The append is written, but its response is lost. If the tool reported a failure, the operator
    // would publish again and overwrite what others have published since. The outcome must come
    // from the log, without a second append.
    @Test
    void shouldNotAppendAgainWhenTheResponseWasLost() {
        log.enqueueFaults(List.of(FakeLog.Fault.ANSWER_LOST));

        assertThat(publish(publication("mine", -1)))
                .isInstanceOf(ConfigurationEvent.Accepted.class);
        assertThat(log.records(LogStream.CONFIGURATION)).hasSize(1);
    }

    // The first append is not yet written when the tool reads, so the tool appends again, and both
    // records are written. The first record counts. The second must not change the outcome.
    @Test
    void shouldReportAcceptedWhenTheFirstAppendIsWrittenLate() {
        log.enqueueFaults(List.of(FakeLog.Fault.WRITTEN_LATE));

        assertThat(publish(publication("mine", -1)))
                .isInstanceOf(ConfigurationEvent.Accepted.class);
        assertThat(inForce()).isEqualTo(0);
    }

    @Test
    void shouldReportSupersededWhenAnotherOperatorPublishedFirst() {
        log.setOtherOperatorAction(
                () -> log.write(LogStream.CONFIGURATION, publication("theirs", -1)));
        log.enqueueFaults(List.of(FakeLog.Fault.OTHER_APPENDED_FIRST));

        assertThat(publish(publication("mine", -1)))
                .isInstanceOf(ConfigurationEvent.Superseded.class);
        assertThat(isInForce("theirs")).isTrue();
    }

    @Test
    void shouldWriteNothingWhenTheBaseVersionIsAlreadySuperseded() {
        publish(publication("first", -1));

        TamaracktrackException failure =
                assertThrows(
                        TamaracktrackException.class, () -> publish(publication("second", -1)));

        assertThat(failure.code()).isEqualTo(ErrorCode.SUPERSEDED);
        assertThat(log.records(LogStream.CONFIGURATION)).hasSize(1);
    }

    @Test
    void shouldReportLogUnavailableWhenTheLogCannotBeRead() {
        log.setReadable(false);

        TamaracktrackException failure =
                assertThrows(TamaracktrackException.class, () -> publish(publication("mine", -1)));

        assertThat(failure.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
    }

    @Test
    void shouldReportOutcomeUnknownWhenTheLogFailsAfterTheAppend() {
        log.setOtherOperatorAction(() -> log.setReadable(false));
        log.enqueueFaults(List.of(FakeLog.Fault.OTHER_APPENDED_FIRST));

        TamaracktrackException failure =
                assertThrows(TamaracktrackException.class, () -> publish(publication("mine", -1)));

        assertThat(failure.code()).isEqualTo(ErrorCode.LOG_OUTCOME_UNKNOWN);
    }

    // For any sequence of append faults and concurrent publications of other operators, the
    // reported outcome must be the outcome that every daemon derives from the log.
    @Property(seed = "80421", tries = 500)
    void shouldReportTheOutcomeInForceWhicheverAppendsFail(
            @ForAll @Size(max = 8) List<FakeLog.Fault> faults, @ForAll boolean othersRace) {
        FakeLog faulty = new FakeLog().enqueueFaults(faults);
        AtomicInteger others = new AtomicInteger();
        faulty.setOtherOperatorAction(
                () -> {
                    if (othersRace) {
                        String id = "theirs-" + others.getAndIncrement();
                        faulty.write(LogStream.CONFIGURATION, publication(id, -1));
                    }
                });
        boolean accepted =
                Publisher.of(faulty, ConfigurationLog.of(faulty), attempts(30))
                                .publish(publication("mine", -1))
                        instanceof ConfigurationEvent.Accepted;

        ConfigurationLog reader = ConfigurationLog.of(faulty);
        reader.readToEnd(attempts(0));
        boolean mineFirst =
                faulty.records(LogStream.CONFIGURATION).get(0).entry()
                                instanceof Publication publication
                        && publication.publication().value().equals("mine");
        assertThat(accepted).isEqualTo(mineFirst);
        assertThat(reader.inForce().map(ConfigurationInForce::version).orElse(-1L)).isEqualTo(0);
    }
}

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

    private static Patience patience(int tries) {
        AtomicInteger left = new AtomicInteger(tries);
        return () -> left.getAndDecrement() > 0;
    }

    private static Publication publication(String id, long basedOn) {
        return new Publication(PublicationId.of(id), basedOn, DOCUMENT, "operator", "");
    }

    private ConfigurationEvent publish(Publication publication) {
        return Publisher.of(log, ConfigurationLog.of(log), patience(20)).publish(publication);
    }

    private long inForce() {
        ConfigurationLog reader = ConfigurationLog.of(log);
        reader.readToEnd(patience(0));
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
    void shouldSayAcceptedWhenReadBack() {
        assertThat(publish(publication("mine", -1)))
                .isInstanceOf(ConfigurationEvent.Accepted.class);
    }

    // The operator's append takes effect and its answer is lost. Told "failed", the operator would
    // publish again on top of what others published since. The verdict has to come from the log,
    // and one record is enough.
    @Test
    void shouldNotAppendAgainWhenTheAnswerWasLost() {
        log.fail(List.of(FakeLog.Fault.ANSWER_LOST));

        assertThat(publish(publication("mine", -1)))
                .isInstanceOf(ConfigurationEvent.Accepted.class);
        assertThat(log.records(LogStream.CONFIGURATION)).hasSize(1);
    }

    // The first append is still under way when the tool reads, so it appends again, and both are
    // written. The record that counts is the first; the second must not turn the verdict round.
    @Test
    void shouldSayAcceptedWhenTheFirstTryIsWrittenLate() {
        log.fail(List.of(FakeLog.Fault.WRITTEN_LATE));

        assertThat(publish(publication("mine", -1)))
                .isInstanceOf(ConfigurationEvent.Accepted.class);
        assertThat(inForce()).isEqualTo(0);
    }

    @Test
    void shouldSaySupersededWhenAnotherOperatorCameFirst() {
        log.otherOperator(() -> log.write(LogStream.CONFIGURATION, publication("theirs", -1)));
        log.fail(List.of(FakeLog.Fault.OTHER_COMES_FIRST));

        assertThat(publish(publication("mine", -1)))
                .isInstanceOf(ConfigurationEvent.Superseded.class);
        assertThat(isInForce("theirs")).isTrue();
    }

    @Test
    void shouldWriteNothingWhenTheBaseIsSupersededAlready() {
        publish(publication("first", -1));

        TamaracktrackException failure =
                assertThrows(
                        TamaracktrackException.class, () -> publish(publication("second", -1)));

        assertThat(failure.code()).isEqualTo(ErrorCode.SUPERSEDED);
        assertThat(log.records(LogStream.CONFIGURATION)).hasSize(1);
    }

    @Test
    void shouldSayCertainlyNotWrittenWhenTheLogStaysOut() {
        log.setReadable(false);

        TamaracktrackException failure =
                assertThrows(TamaracktrackException.class, () -> publish(publication("mine", -1)));

        assertThat(failure.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
    }

    @Test
    void shouldSayUnknownWhenTheLogGoesOutAfterTheAppend() {
        log.otherOperator(() -> log.setReadable(false));
        log.fail(List.of(FakeLog.Fault.OTHER_COMES_FIRST));

        TamaracktrackException failure =
                assertThrows(TamaracktrackException.class, () -> publish(publication("mine", -1)));

        assertThat(failure.code()).isEqualTo(ErrorCode.LOG_OUTCOME_UNKNOWN);
    }

    // Whatever happens to the appends, and whoever else publishes between them, the verdict that
    // the operator is told is the one that every daemon comes to.
    @Property(seed = "80421", tries = 500)
    void shouldTellWhatIsInForceWhateverFails(
            @ForAll @Size(max = 8) List<FakeLog.Fault> faults, @ForAll boolean othersRace) {
        FakeLog faulty = new FakeLog().fail(faults);
        AtomicInteger others = new AtomicInteger();
        faulty.otherOperator(
                () -> {
                    if (othersRace) {
                        String id = "theirs-" + others.getAndIncrement();
                        faulty.write(LogStream.CONFIGURATION, publication(id, -1));
                    }
                });
        boolean accepted =
                Publisher.of(faulty, ConfigurationLog.of(faulty), patience(30))
                                .publish(publication("mine", -1))
                        instanceof ConfigurationEvent.Accepted;

        ConfigurationLog reader = ConfigurationLog.of(faulty);
        reader.readToEnd(patience(0));
        boolean mineFirst =
                faulty.records(LogStream.CONFIGURATION).get(0).entry()
                                instanceof Publication publication
                        && publication.publication().value().equals("mine");
        assertThat(accepted).isEqualTo(mineFirst);
        assertThat(reader.inForce().map(ConfigurationInForce::version).orElse(-1L)).isEqualTo(0);
    }
}

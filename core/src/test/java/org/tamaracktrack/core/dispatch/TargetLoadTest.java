package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetLoadTest {
    private static final int PROMPT_TOKENS = 10;
    private static final long SENT_MILLIS = 10_000;

    private final TargetLoad load = new TargetLoad();

    @Nested
    class MaximumForRetries {

        // Guards against refused requests that are sent on to a stopped target.
        @Test
        void shouldBeZeroWhenTargetOwesAnswer() {
            load.recordContact(SENT_MILLIS - 1);
            load.recordSent(PROMPT_TOKENS, SENT_MILLIS);

            assertThat(load.maximumForRetries(SENT_MILLIS + 499, 0)).isEqualTo(Integer.MAX_VALUE);
            assertThat(load.maximumForRetries(SENT_MILLIS + 500, 0)).isEqualTo(0);
        }

        // Guards against a stopped target that seems idle once its requests have ended.
        @Test
        void shouldBeZeroWhenRequestEndedWithoutAnswer() {
            load.recordSent(PROMPT_TOKENS, SENT_MILLIS);
            load.removeUnanswered(PROMPT_TOKENS, SENT_MILLIS);
            load.recordEnd();

            assertThat(load.maximumForRetries(SENT_MILLIS + 60_000, 0)).isEqualTo(0);
        }

        @Test
        void shouldBeUnlimitedAgainWhenTargetHasSentSomething() {
            load.recordSent(PROMPT_TOKENS, SENT_MILLIS);
            load.recordContact(SENT_MILLIS + 5_000);

            assertThat(load.maximumForRetries(SENT_MILLIS + 5_100, 0)).isEqualTo(Integer.MAX_VALUE);
        }

        // Guards against a burst of retries that go to a target of which nothing is known.
        @Test
        void shouldBeSmallWithoutRecentContact() {
            load.recordContact(SENT_MILLIS);

            assertThat(load.maximumForRetries(SENT_MILLIS + 1_001, 0)).isEqualTo(2);
        }

        // Guards against targets that seem to owe an answer because this daemon has not read it.
        @Test
        void shouldNotCountTimeInWhichThisDaemonReadNothing() {
            load.recordContact(SENT_MILLIS - 1);
            load.recordSent(PROMPT_TOKENS, SENT_MILLIS);

            assertThat(load.maximumForRetries(SENT_MILLIS + 900, 800)).isGreaterThan(0);
        }
    }
}

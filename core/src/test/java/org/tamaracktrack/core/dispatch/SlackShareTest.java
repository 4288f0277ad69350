package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class SlackShareTest {
    private static final long WINDOW_MILLIS = 10_000;
    private static final long TICK_MILLIS = 500;

    private final SlackShare slackShare = SlackShare.of(WINDOW_MILLIS);

    private void recordDaemonCounts(int daemons, long fromMillis, long toMillis) {
        for (long at = fromMillis; at <= toMillis; at += TICK_MILLIS) {
            slackShare.recordDaemonCount(daemons, at);
        }
    }

    // Guards against a successor that uses a share which its predecessor has used in the same
    // window.
    @Test
    void shouldHaveNoShareForOneWindowAfterStart() {
        recordDaemonCounts(4, 0, 30_000);

        assertThat(slackShare.share(WINDOW_MILLIS)).isEqualTo(0);
        assertThat(slackShare.share(30_000)).isEqualTo(0.25);
    }

    // Guards against shares that add up to more than the whole slack while daemons are removed from
    // the list.
    @Test
    void shouldDivideByTheHighestDaemonCountOfRecentWindows() {
        recordDaemonCounts(8, 0, 20_000);
        recordDaemonCounts(4, 20_500, 25_000);

        assertThat(slackShare.share(25_000)).isEqualTo(0.125);
    }

    @Test
    void shouldHaveLargerShareWhenOtherDaemonsHaveBeenGoneForLong() {
        recordDaemonCounts(8, 0, 20_000);
        recordDaemonCounts(4, 20_500, 60_000);

        assertThat(slackShare.share(60_000)).isEqualTo(0.25);
    }

    // Guards against a share computed from an outdated number of daemons while new daemons start.
    @Test
    void shouldHaveNoShareWhileNoListArrives() {
        recordDaemonCounts(4, 0, 20_000);

        assertThat(slackShare.share(23_000)).isEqualTo(0);
    }

    @Test
    void shouldRegainShareWhenNextHolderListsDaemonWithinOneWindow() {
        recordDaemonCounts(4, 0, 20_000);
        recordDaemonCounts(4, 26_000, 26_000);

        assertThat(slackShare.share(26_000)).isEqualTo(0.25);
    }

    // Guards against a share of a daemon that the others have not counted for so long that their
    // shares grew.
    @Test
    void shouldStartOverWhenNotListedForOneWindow() {
        recordDaemonCounts(4, 0, 20_000);
        recordDaemonCounts(4, 31_000, 33_000);

        assertThat(slackShare.share(33_000)).isEqualTo(0);
    }

    @Test
    void shouldStartOverAfterProcessFreeze() {
        recordDaemonCounts(4, 0, 20_000);
        slackShare.restartAfterFreeze();
        recordDaemonCounts(4, 20_500, 22_000);

        assertThat(slackShare.share(22_000)).isEqualTo(0);
    }
}

package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class SlackShareTest {
    private static final long WINDOW_MILLIS = 10_000;
    private static final long TICK_MILLIS = 500;

    private final SlackShare share = SlackShare.of(WINDOW_MILLIS);

    private void listed(int daemons, long fromMillis, long toMillis) {
        for (long at = fromMillis; at <= toMillis; at += TICK_MILLIS) {
            share.listed(daemons, at);
        }
    }

    // Guards against a successor that uses a part which its predecessor has used in that window.
    @Test
    void shouldHaveNoPartForAWindowAfterItsStart() {
        listed(4, 0, 30_000);

        assertThat(share.part(WINDOW_MILLIS)).isEqualTo(0);
        assertThat(share.part(30_000)).isEqualTo(0.25);
    }

    // Guards against parts that add up to more than the whole while daemons are taken off the list.
    @Test
    void shouldDivideByTheMostDaemonsThatAWindowMayHold() {
        listed(8, 0, 20_000);
        listed(4, 20_500, 25_000);

        assertThat(share.part(25_000)).isEqualTo(0.125);
    }

    @Test
    void shouldHaveALargerPartOnceTheOthersHaveBeenGoneForLong() {
        listed(8, 0, 20_000);
        listed(4, 20_500, 60_000);

        assertThat(share.part(60_000)).isEqualTo(0.25);
    }

    // Guards against a part by an old number of daemons while new ones come.
    @Test
    void shouldHaveNoPartWhileItHearsOfNoList() {
        listed(4, 0, 20_000);

        assertThat(share.part(23_000)).isEqualTo(0);
    }

    @Test
    void shouldHaveItsPartAgainWhenTheNextHolderListsItSoon() {
        listed(4, 0, 20_000);
        listed(4, 26_000, 26_000);

        assertThat(share.part(26_000)).isEqualTo(0.25);
    }

    // Guards against a part of one that the others have not counted for so long that theirs grew.
    @Test
    void shouldBeginAnewWhenNoListHeldItForAWindow() {
        listed(4, 0, 20_000);
        listed(4, 31_000, 33_000);

        assertThat(share.part(33_000)).isEqualTo(0);
    }

    @Test
    void shouldBeginAnewWhenTheProcessStoodStill() {
        listed(4, 0, 20_000);
        share.restart();
        listed(4, 20_500, 22_000);

        assertThat(share.part(22_000)).isEqualTo(0);
    }
}

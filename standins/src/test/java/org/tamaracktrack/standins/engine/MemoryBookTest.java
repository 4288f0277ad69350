package org.tamaracktrack.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.standins.engine.MemoryBook.Begun;

class MemoryBookTest {

    private static EngineOrder order(
            EngineOrder.Kind kind, String model, String adapter, long mebibytes) {
        return new EngineOrder("o", 1, kind, "a0", model, adapter, "1", mebibytes, 0, 1000, null);
    }

    private static EngineOrder load(String model, long mebibytes) {
        return order(EngineOrder.Kind.LOAD_MODEL, model, null, mebibytes);
    }

    private static EngineOrder unload(String model) {
        return order(EngineOrder.Kind.UNLOAD_MODEL, model, null, 0);
    }

    private static EngineOrder loadAdapter(String model, String adapter, long mebibytes) {
        return order(EngineOrder.Kind.LOAD_ADAPTER, model, adapter, mebibytes);
    }

    private static MemoryBook book(long cacheMebibytes, boolean refuses) {
        MemoryBook book = MemoryBook.of(cacheMebibytes, refuses);
        book.add("a0", 100);
        return book;
    }

    @Nested
    class Overcommit {
        @Test
        void shouldBeRecordedWhenAnOrderIsCarriedOutWithoutRoom() {
            MemoryBook book = book(20, false);
            assertThat(book.beginLoadModel(load("m", 80))).isEqualTo(Begun.STARTED);
            assertThat(book.overcommits()).isEqualTo(0);
            assertThat(book.beginLoadModel(load("n", 1))).isEqualTo(Begun.STARTED);
            assertThat(book.overcommits()).isEqualTo(1);
        }

        @Test
        void shouldBeRecordedWhenAnAdapterDoesIt() {
            MemoryBook book = book(0, false);
            book.beginLoadModel(load("m", 90));
            assertThat(book.beginLoadAdapter(loadAdapter("m", "x", 11))).isEqualTo(Begun.STARTED);
            assertThat(book.overcommits()).isEqualTo(1);
        }

        @Test
        void shouldBeRefusedWhenToldSo() {
            MemoryBook book = book(20, true);
            assertThat(book.beginLoadModel(load("m", 81))).isEqualTo(Begun.NO_MEMORY);
            assertThat(book.models()).isEmpty();
            assertThat(book.overcommits()).isEqualTo(0);
        }

        @Test
        void shouldCountMemoryUntilTheUnloadHasEnded() {
            MemoryBook book = book(0, true);
            book.beginLoadModel(load("m", 60));
            book.endLoad(load("m", 60), true);
            book.beginUnload(unload("m"));
            assertThat(book.beginLoadModel(load("n", 60))).isEqualTo(Begun.NO_MEMORY);
            book.endUnload(unload("m"));
            assertThat(book.beginLoadModel(load("n", 60))).isEqualTo(Begun.STARTED);
        }
    }

    @Nested
    class Readiness {
        @Test
        void shouldComeWithTheEndOfTheLoad() {
            MemoryBook book = book(0, false);
            book.beginLoadModel(load("m", 10));
            assertThat(book.ready("m")).isFalse();
            book.endLoad(load("m", 10), true);
            assertThat(book.ready("m")).isTrue();
            assertThat(book.beginLoadModel(load("m", 10))).isEqualTo(Begun.ALREADY_DONE);
        }

        @Test
        void shouldNotComeWhenTheWeightsDidNot() {
            MemoryBook book = book(0, false);
            book.beginLoadModel(load("m", 10));
            book.endLoad(load("m", 10), false);
            assertThat(book.models()).isEmpty();
        }

        @Test
        void shouldNeedTheBaseModelForAnAdapter() {
            MemoryBook book = book(0, false);
            EngineOrder adapter = loadAdapter("m", "x", 1);
            assertThat(book.beginLoadAdapter(adapter)).isEqualTo(Begun.IMPOSSIBLE);
            book.beginLoadModel(load("m", 10));
            assertThat(book.beginLoadAdapter(adapter)).isEqualTo(Begun.STARTED);
            book.endLoad(adapter, true);
            assertThat(book.ready("m", "x")).isFalse();
            book.endLoad(load("m", 10), true);
            assertThat(book.ready("m", "x")).isTrue();
        }
    }
}

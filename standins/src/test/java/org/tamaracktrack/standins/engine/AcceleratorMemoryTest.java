package org.tamaracktrack.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.standins.engine.AcceleratorMemory.BeginResult;

class AcceleratorMemoryTest {

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

    private static AcceleratorMemory memory(long cacheMebibytes, boolean refusesOvercommit) {
        AcceleratorMemory memory = AcceleratorMemory.of(cacheMebibytes, refusesOvercommit);
        memory.addAccelerator("a0", 100);
        return memory;
    }

    @Nested
    class Overcommit {
        @Test
        void shouldBeCountedWhenAModelIsLoadedWithoutFreeMemory() {
            AcceleratorMemory memory = memory(20, false);
            assertThat(memory.beginLoadModel(load("m", 80))).isEqualTo(BeginResult.STARTED);
            assertThat(memory.overcommits()).isEqualTo(0);
            assertThat(memory.beginLoadModel(load("n", 1))).isEqualTo(BeginResult.STARTED);
            assertThat(memory.overcommits()).isEqualTo(1);
        }

        @Test
        void shouldBeCountedWhenAnAdapterIsLoadedWithoutFreeMemory() {
            AcceleratorMemory memory = memory(0, false);
            memory.beginLoadModel(load("m", 90));
            assertThat(memory.beginLoadAdapter(loadAdapter("m", "x", 11)))
                    .isEqualTo(BeginResult.STARTED);
            assertThat(memory.overcommits()).isEqualTo(1);
        }

        @Test
        void shouldBeRefusedWhenSetToDoSo() {
            AcceleratorMemory memory = memory(20, true);
            assertThat(memory.beginLoadModel(load("m", 81))).isEqualTo(BeginResult.NO_MEMORY);
            assertThat(memory.models()).isEmpty();
            assertThat(memory.overcommits()).isEqualTo(0);
        }

        @Test
        void shouldCountMemoryUntilTheUnloadHasEnded() {
            AcceleratorMemory memory = memory(0, true);
            memory.beginLoadModel(load("m", 60));
            memory.endLoad(load("m", 60), true);
            memory.beginUnload(unload("m"));
            assertThat(memory.beginLoadModel(load("n", 60))).isEqualTo(BeginResult.NO_MEMORY);
            memory.endUnload(unload("m"));
            assertThat(memory.beginLoadModel(load("n", 60))).isEqualTo(BeginResult.STARTED);
        }
    }

    @Nested
    class Readiness {
        @Test
        void shouldBeginAtTheEndOfTheLoad() {
            AcceleratorMemory memory = memory(0, false);
            memory.beginLoadModel(load("m", 10));
            assertThat(memory.isReady("m")).isFalse();
            memory.endLoad(load("m", 10), true);
            assertThat(memory.isReady("m")).isTrue();
            assertThat(memory.beginLoadModel(load("m", 10))).isEqualTo(BeginResult.ALREADY_DONE);
        }

        @Test
        void shouldNotBeginWhenTheLoadFails() {
            AcceleratorMemory memory = memory(0, false);
            memory.beginLoadModel(load("m", 10));
            memory.endLoad(load("m", 10), false);
            assertThat(memory.models()).isEmpty();
        }

        @Test
        void shouldRequireTheBaseModelForAnAdapter() {
            AcceleratorMemory memory = memory(0, false);
            EngineOrder adapter = loadAdapter("m", "x", 1);
            assertThat(memory.beginLoadAdapter(adapter)).isEqualTo(BeginResult.IMPOSSIBLE);
            memory.beginLoadModel(load("m", 10));
            assertThat(memory.beginLoadAdapter(adapter)).isEqualTo(BeginResult.STARTED);
            memory.endLoad(adapter, true);
            assertThat(memory.isReady("m", "x")).isFalse();
            memory.endLoad(load("m", 10), true);
            assertThat(memory.isReady("m", "x")).isTrue();
        }
    }
}

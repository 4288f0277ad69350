package org.tamaracktrack.bench.endtoend;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.stream.StreamSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;
import org.tamaracktrack.bench.stack.CommandResult;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.StandInProcess;
import org.tamaracktrack.bench.stack.Waiting;

@Timeout(90)
@ExtendWith(SharedStackExtension.class)
class FencingTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String SAMPLE = "../docs/sample-configuration.yaml";

    private static void publish(LocalStack stack, Map<String, String> changes) throws IOException {
        String document = Files.readString(Path.of(SAMPLE));
        for (Map.Entry<String, String> change : changes.entrySet()) {
            assertThat(document).contains(change.getKey());
            document = document.replace(change.getKey(), change.getValue());
        }
        Path file = Path.of("target", "changed-configuration.yaml");
        Files.writeString(file, document);
        CommandResult result = stack.command(stack.publishArguments(file.toString()));
        assertThat(result.status()).isEqualTo(0);
    }

    private static boolean hasOrderInTransit(StandInProcess engine) {
        return engine.getControl("/control/orders").get("onTheirWay").asInt() > 0;
    }

    private static boolean holdsOnlyVersion(StandInProcess engine, String version) {
        JsonNode models = engine.getControl("/control/state").get("models");
        return !models.isEmpty()
                && StreamSupport.stream(models.spliterator(), false)
                        .allMatch(model -> model.get("version").asText().equals(version));
    }

    @Test
    void shouldNeverOvercommitWhenAnEngineIgnoresFencing(LocalStack stack) throws Exception {
        // Guards against memory overcommit by delayed orders. The engine doesn't check fencing
        // numbers and executes orders 1.5 s late. New model versions are published, and the target
        // daemon is killed while an order is in transit. Its successor sees free memory in the
        // inventory and would overcommit it if it didn't reserve memory for orders that its
        // predecessor may have sent.
        StandInProcess engine = stack.standIn("engine-3");
        engine.putControl("/control/orders", "{\"lose\":0,\"delayMillis\":1500,\"double\":0}");
        publish(stack, Map.of("version: \"1\", memoryMebibytes: 8192", modelVersionText("2")));
        for (int round = 0; round < 3; round++) {
            Waiting.until("an order is in transit", TIMEOUT, () -> hasOrderInTransit(engine));
            stack.target("engine-3").program().kill();
            stack.restartTarget("engine-3");
        }
        engine.putControl("/control/orders", "{\"lose\":0,\"delayMillis\":0,\"double\":0}");
        Waiting.until(
                "the engine holds only the new versions",
                TIMEOUT,
                () -> holdsOnlyVersion(engine, "2"));
        ExchangeAssertions.assertNoOvercommit(stack);
        publish(stack, Map.of());
    }

    private static String modelVersionText(String number) {
        return "version: \"" + number + "\", memoryMebibytes: 8192";
    }
}

package org.tamaracktrack.bench.measure;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.StackPlan;

/** Runs measurements, each on a fresh sample system. */
public final class Measurements {

    private static final double TOKEN_MILLIS = 0.25;

    private Measurements() {}

    /**
     * Runs measurements.
     *
     * @param root the directory of the project
     * @param out where to print
     * @param wanted which of cost, footprint and recovery
     */
    public static void run(Path root, PrintStream out, List<String> wanted) {
        Objects.requireNonNull(root, "root is null");
        StackPlan plan = StackPlan.sample(root, root.resolve(".local"), TOKEN_MILLIS);
        Map<String, Consumer<LocalStack>> all =
                Map.of(
                        "cost", stack -> PathCost.of(stack, out).run(),
                        "footprint", stack -> Footprints.of(stack, out).run(),
                        "recovery", stack -> Recoveries.of(stack, plan.document(), out).run());
        wanted.forEach(
                what -> {
                    out.println("== " + what);
                    try (LocalStack stack = LocalStack.start(plan)) {
                        all.get(what).accept(stack);
                    }
                });
    }
}

package org.tamaracktrack.bench.endtoend;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.ParameterContext;
import org.junit.jupiter.api.extension.ParameterResolver;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.SampleAccounts;
import org.tamaracktrack.bench.stack.StackPlan;

/**
 * Provides one running sample system to all end-to-end tests. After each test it ends simulated
 * faults, resumes or restarts daemons and waits until every model answers.
 */
final class SharedStackExtension implements ParameterResolver, AfterEachCallback {
    private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(40);
    private static final AtomicInteger PROMPT_COUNT = new AtomicInteger();

    private record Holder(LocalStack stack) implements ExtensionContext.Store.CloseableResource {
        @Override
        public void close() {
            stack.close();
        }
    }

    static String newPrompt() {
        return "prompt " + PROMPT_COUNT.incrementAndGet();
    }

    private static LocalStack sharedStack(ExtensionContext context) {
        return context.getRoot()
                .getStore(ExtensionContext.Namespace.GLOBAL)
                .getOrComputeIfAbsent(
                        SharedStackExtension.class.getName(),
                        key -> new Holder(start()),
                        Holder.class)
                .stack();
    }

    private static LocalStack start() {
        LocalStack stack =
                LocalStack.start(StackPlan.sample(Path.of(".."), Path.of("target", "stack")));
        awaitEveryModel(stack);
        return stack;
    }

    @Override
    public boolean supportsParameter(ParameterContext parameter, ExtensionContext context) {
        return parameter.getParameter().getType() == LocalStack.class;
    }

    @Override
    public Object resolveParameter(ParameterContext parameter, ExtensionContext context) {
        return sharedStack(context);
    }

    @Override
    public void afterEach(ExtensionContext context) {
        LocalStack stack = sharedStack(context);
        stack.log().putControl("/control/outage", "{\"on\":false}");
        stack.engines()
                .values()
                .forEach(
                        engine ->
                                engine.putControl(
                                        "/control/orders",
                                        "{\"lose\":0,\"delayMillis\":0,\"double\":0}"));
        restartEndedDaemons(stack);
        stack.awaitReady();
        awaitEveryModel(stack);
    }

    private static void restartEndedDaemons(LocalStack stack) {
        stack.targets()
                .forEach(
                        (name, daemon) -> {
                            daemon.program().resume();
                            if (!daemon.program().alive()) {
                                stack.restartTarget(name);
                            }
                        });
        for (int index = 0; index < stack.entries().size(); index++) {
            stack.entry(index).program().resume();
            if (!stack.entry(index).program().alive()) {
                stack.restartEntry(index);
            }
        }
    }

    static void awaitEveryModel(LocalStack stack) {
        SampleAccounts.awaitEveryModel(stack, RECOVERY_TIMEOUT);
    }
}

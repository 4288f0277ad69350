package org.tamaracktrack.bench.stack;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.bench.caller.Caller;
import org.tamaracktrack.bench.caller.CallerKey;
import org.tamaracktrack.bench.caller.ModelRequest;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.caller.ServiceRequest;

/** The client accounts of the sample configuration. */
public final class SampleAccounts {
    /** The first account. */
    public static final CallerKey CEVALLOS = new CallerKey("cevallos", "cevallos-sample-key");

    /** The second account. */
    public static final CallerKey KTIMATOLOGOS =
            new CallerKey("ktimatologos", "ktimatologos-sample-key");

    /** The plain service that both may use. */
    public static final String SERVICE = "order-book";

    /** The class of requests that name none. */
    public static final String DEFAULT_CLASS = "interactive";

    private static final List<Map.Entry<CallerKey, String>> MODELS =
            List.of(
                    Map.entry(CEVALLOS, "order-reader"),
                    Map.entry(CEVALLOS, "note-writer"),
                    Map.entry(CEVALLOS, "terms-checker"),
                    Map.entry(KTIMATOLOGOS, "history-writer"),
                    Map.entry(KTIMATOLOGOS, "damage-reader"));

    private SampleAccounts() {}

    /**
     * Returns a request for each model.
     *
     * @param prompt the beginning of the prompts
     * @return the requests
     */
    public static List<ModelRequest> toEveryModel(String prompt) {
        return MODELS.stream()
                .map(
                        model ->
                                ModelRequest.of(
                                        model.getKey(),
                                        model.getValue(),
                                        prompt + " for " + model.getValue()))
                .toList();
    }

    /**
     * Returns a call of the plain service.
     *
     * @param caller who asks
     * @param method the HTTP method
     * @param body the body
     * @param key the idempotency key
     * @return the call
     */
    public static ServiceRequest toService(
            CallerKey caller, String method, String body, Optional<String> key) {
        return new ServiceRequest(caller, SERVICE, method, "/orders?of=" + method, body, key);
    }

    /**
     * Waits until every model answers through every entry daemon.
     *
     * @param stack the running sample system
     * @param limit how long to wait for each
     */
    public static void awaitEveryModel(LocalStack stack, Duration limit) {
        Caller caller = Caller.of();
        stack.entries().stream()
                .map(DaemonProcess::httpAddress)
                .forEach(address -> awaitEveryModel(caller, address, limit));
    }

    private static void awaitEveryModel(Caller caller, String address, Duration limit) {
        toEveryModel("waiting at " + address)
                .forEach(
                        request ->
                                Waiting.until(
                                        request.model() + " answers",
                                        limit,
                                        () -> answers(caller, address, request)));
    }

    private static boolean answers(Caller caller, String address, ModelRequest request) {
        return caller.send(address, request).join().outcome() == Outcome.WHOLE;
    }
}

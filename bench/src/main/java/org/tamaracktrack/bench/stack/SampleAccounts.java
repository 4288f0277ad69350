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

/** Client accounts of the sample configuration, and requests that they may send. */
public final class SampleAccounts {
    /**
     * The account that may use {@code order-reader}, {@code note-writer} and {@code terms-checker}.
     */
    public static final CallerKey CEVALLOS = new CallerKey("cevallos", "cevallos-sample-key");

    /** The account that may use {@code history-writer} and {@code damage-reader}. */
    public static final CallerKey KTIMATOLOGOS =
            new CallerKey("ktimatologos", "ktimatologos-sample-key");

    /** The plain service that both accounts may call. */
    public static final String SERVICE = "order-book";

    /** The request class of requests that don't specify one. */
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
     * Returns a request for each model, sent by the account that may use it.
     *
     * @param prompt the common prefix of the prompts
     * @return the requests
     */
    public static List<ModelRequest> requestsToEveryModel(String prompt) {
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
     * Returns a request to the plain service.
     *
     * @param caller the account that sends the request
     * @param method the HTTP method
     * @param body the request body
     * @param key the idempotency key, if any
     * @return the request
     */
    public static ServiceRequest serviceRequest(
            CallerKey caller, String method, String body, Optional<String> key) {
        return new ServiceRequest(caller, SERVICE, method, "/orders?of=" + method, body, key);
    }

    /**
     * Waits until every model answers through every entry daemon.
     *
     * @param stack the running sample system
     * @param timeout the maximum time to wait for each model at each entry daemon
     */
    public static void awaitEveryModel(LocalStack stack, Duration timeout) {
        Caller caller = Caller.of();
        stack.entries().stream()
                .map(DaemonProcess::httpAddress)
                .forEach(address -> awaitEveryModel(caller, address, timeout));
    }

    private static void awaitEveryModel(Caller caller, String address, Duration timeout) {
        requestsToEveryModel("waiting at " + address)
                .forEach(
                        request ->
                                Waiting.until(
                                        request.model() + " answers",
                                        timeout,
                                        () -> answers(caller, address, request)));
    }

    private static boolean answers(Caller caller, String address, ModelRequest request) {
        return caller.send(address, request).join().outcome() == Outcome.WHOLE;
    }
}

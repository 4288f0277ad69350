package org.tamaracktrack.daemon.target;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.http.HttpCall;
import org.tamaracktrack.link.http.HttpCaller;

/** Sends admitted attempts to the engine or plain service. Confined to the control thread. */
final class Dispatcher {
    private static final Set<String> OWN_HEADERS =
            Set.of("x-request-id", "x-model", "x-adapter", "x-priority");

    private final HttpCaller http;
    private Optional<Destination> destination = Optional.empty();

    private record Destination(
            Configuration configuration, Configuration.Target target, InetSocketAddress address) {}

    private Dispatcher(HttpCaller http) {
        this.http = http;
    }

    static Dispatcher of(HttpCaller http) {
        Objects.requireNonNull(http, "http is null");
        return new Dispatcher(http);
    }

    void configure(Configuration configuration, Configuration.Target target) {
        destination =
                Optional.of(
                        new Destination(
                                configuration, target, EndpointParser.parse(target.endpoint())));
    }

    boolean serves(Message.Submit submit) {
        Configuration.TargetKind kind =
                submit.kind() == Message.CallKind.MODEL
                        ? Configuration.TargetKind.ENGINE
                        : Configuration.TargetKind.SERVICE;
        return destination.map(current -> current.target().kind() == kind).orElse(false);
    }

    boolean dispatch(Attempt attempt) {
        Destination current = destination.orElseThrow();
        Message.Submit submit = attempt.submit();
        HttpCall call =
                new HttpCall(
                        current.address(),
                        submit.method(),
                        submit.path(),
                        headers(submit, current.configuration()),
                        submit.body(),
                        Math.max(1, attempt.deadlineMillis() - ControlThread.nowMillis()));
        return attempt.send(listener -> http.stream(call, attempt::maySend, listener));
    }

    private static Map<String, String> headers(Message.Submit submit, Configuration configuration) {
        Map<String, String> headers = new HashMap<>();
        submit.headers().entrySet().stream()
                .filter(header -> !OWN_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT)))
                .forEach(header -> headers.put(header.getKey(), header.getValue()));
        headers.put("X-Request-Id", submit.attempt().toString());
        if (submit.kind() == Message.CallKind.MODEL) {
            submit.model().ifPresent(model -> headers.put("X-Model", model.value()));
            submit.adapter().ifPresent(adapter -> headers.put("X-Adapter", adapter.value()));
            Optional.ofNullable(configuration.classes().get(submit.requestClass()))
                    .ifPresent(
                            requestClass ->
                                    headers.put(
                                            "X-Priority", String.valueOf(requestClass.weight())));
        }
        return headers;
    }
}

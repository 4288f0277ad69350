package org.tamaracktrack.daemon.gateway;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.fleet.ModelNeed;

/**
 * Requests for which no target holds the model yet, in the order of their arrival. Owned by the
 * traffic thread.
 */
final class WaitingRequests {
    // The sort keeps the order of arrival among requests that are not under admission control.
    private static final Comparator<ForwardedRequest> BY_URGENCY =
            Comparator.comparingInt(ForwardedRequest::releasePriority)
                    .thenComparingLong(ForwardedRequest::releaseByMillis);

    private final Set<ForwardedRequest> requests = new LinkedHashSet<>();

    private WaitingRequests() {}

    static WaitingRequests empty() {
        return new WaitingRequests();
    }

    void add(ForwardedRequest request) {
        requests.add(request);
    }

    void remove(ForwardedRequest request) {
        requests.remove(request);
    }

    /** Retries each request after the fleet has changed. */
    void retryAll() {
        if (!requests.isEmpty()) {
            requests.stream()
                    .sorted(BY_URGENCY)
                    .collect(Collectors.toList())
                    .forEach(ForwardedRequest::retryWaiting);
        }
    }

    /**
     * Refuses each request, since this daemon is about to stop and another one can wait in its
     * place.
     */
    void refuseAll() {
        List.copyOf(requests).forEach(ForwardedRequest::refuseWaiting);
    }

    Map<ModelNeed, Integer> byNeed() {
        return requests.stream()
                .flatMap(request -> request.need().stream())
                .collect(Collectors.toMap(need -> need, need -> 1, Integer::sum));
    }
}

package org.tamaracktrack.core.route;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Finds routes by host name and path. Among the routes of a host the one with the longest matching
 * path prefix is selected.
 */
public final class RouteTable {
    private final Map<String, List<Route>> byHost;
    private final long longestTimeoutMillis;

    private RouteTable(Map<String, List<Route>> byHost, long longestTimeoutMillis) {
        this.byHost = byHost;
        this.longestTimeoutMillis = longestTimeoutMillis;
    }

    /**
     * Returns a table of the given routes.
     *
     * @param routes the routes
     * @return the table
     */
    public static RouteTable of(List<Route> routes) {
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
        return new RouteTable(
                routes.stream()
                        .sorted(longestFirst)
                        .collect(Collectors.groupingBy(Route::host, Collectors.toList())),
                routes.stream().mapToLong(Route::timeoutMillis).max().orElse(0));
    }

    /**
     * Returns the longest timeout of all routes.
     *
     * @return the timeout in milliseconds; 0 without routes
     */
    public long longestTimeoutMillis() {
        return longestTimeoutMillis;
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host name in lower case, without a port
     * @param path the path without its query
     * @return the route; empty when none matches
     */
    public Optional<Route> find(String host, String path) {
        return byHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }
}

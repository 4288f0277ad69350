package org.tamaracktrack.bench.load;

import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;

/**
 * The size of the site of one user.
 *
 * @param name the name of the user
 * @param engines the number of model engines, each with one accelerator
 * @param services the number of instances of plain services
 * @param models the number of models
 * @param adapters the number of adapters
 * @param loadsPerSecond the rate at which the weight store starts loads
 * @param concurrentLoads the number of concurrent loads that the weight store serves at full speed
 * @param moveCost the cost of one load or unload, in requests that meet the objective of their
 *     class
 * @param accounts the share of each client account
 */
public record UserProfile(
        String name,
        int engines,
        int services,
        int models,
        int adapters,
        double loadsPerSecond,
        int concurrentLoads,
        double moveCost,
        List<Integer> accounts) {

    /** The first user, for whom attainment of latency objectives outweighs the cost of moves. */
    public static final UserProfile CEVALLOS =
            new UserProfile("cevallos", 8, 3, 26, 64, 1.4, 11, 0.2, List.of(2, 1, 1));

    /** The second user, for whom the cost of moves outweighs attainment of latency objectives. */
    public static final UserProfile KTIMATOLOGOS =
            new UserProfile("ktimatologos", 8, 3, 21, 77, 1.4, 16, 2.0, List.of(2, 1, 1));

    /** Checks the arguments. */
    public UserProfile {
        Objects.requireNonNull(name, "name is null");
        accounts = List.copyOf(accounts);
    }

    /**
     * Returns the names of the models.
     *
     * @return the names
     */
    public List<String> modelNames() {
        return numberedNames("model-", models);
    }

    /**
     * Returns the names of the adapters.
     *
     * @return the names
     */
    public List<String> adapterNames() {
        return numberedNames("adapter-", adapters);
    }

    /**
     * Returns the names of the client accounts.
     *
     * @return the names
     */
    public List<String> accountNames() {
        return numberedNames("account-", accounts.size());
    }

    /**
     * Returns the base model of an adapter.
     *
     * @param adapterIndex the index of the adapter
     * @return the index of the model
     */
    public int baseModelIndex(int adapterIndex) {
        return adapterIndex % models;
    }

    private static List<String> numberedNames(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(index -> prefix + index).toList();
    }
}

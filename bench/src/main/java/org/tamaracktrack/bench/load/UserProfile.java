package org.tamaracktrack.bench.load;

import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;

/**
 * The size of one user's site.
 *
 * @param name the user
 * @param engines model runners, one accelerator each
 * @param services plain-service runners
 * @param models models
 * @param adapters adapters
 * @param loadsPerSecond the weight store's rate
 * @param concurrentLoads loads at once at full speed
 * @param moveCost the weight of a move against a request served within its class
 * @param accounts client accounts and their shares
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

    /** The first user: attainment weighs more than moves. */
    public static final UserProfile CEVALLOS =
            new UserProfile("cevallos", 8, 3, 26, 64, 1.4, 11, 0.2, List.of(2, 1, 1));

    /** The second user: moves weigh more than attainment. */
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
        return numbered("model-", models);
    }

    /**
     * Returns the names of the adapters.
     *
     * @return the names
     */
    public List<String> adapterNames() {
        return numbered("adapter-", adapters);
    }

    /**
     * Returns the names of the client accounts.
     *
     * @return the names
     */
    public List<String> accountNames() {
        return numbered("account-", accounts.size());
    }

    /**
     * Returns the model that an adapter belongs to.
     *
     * @param adapter the adapter's index
     * @return the model's index
     */
    public int baseOf(int adapter) {
        return adapter % models;
    }

    private static List<String> numbered(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(index -> prefix + index).toList();
    }
}

package org.tamaracktrack.standins.engine;

/** The source from which an engine loads weights. */
public interface WeightSource {

    /**
     * Loads weights. Blocks for the duration of the load.
     *
     * @param name the model or adapter
     * @param version the version
     * @param mebibytes the size of the weights
     * @return whether the load succeeded
     */
    boolean fetch(String name, String version, long mebibytes);
}

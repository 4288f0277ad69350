package org.tamaracktrack.standins.engine;

/** Where an engine gets weights from. */
public interface WeightSource {

    /**
     * Fetches weights, and takes as long as that takes.
     *
     * @param name the model or adapter
     * @param version its version
     * @param mebibytes its size
     * @return whether they came
     */
    boolean fetch(String name, String version, long mebibytes);
}

package org.tamaracktrack.standins.engine;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

/** A source that loads weights from the weight store. */
final class HttpWeightSource implements WeightSource {
    private static final int STATUS_OK = 200;

    private final HttpClient client;
    private final URI store;

    private HttpWeightSource(HttpClient client, URI store) {
        this.client = client;
        this.store = store;
    }

    static HttpWeightSource of(URI store) {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        return new HttpWeightSource(client, store);
    }

    @Override
    public boolean fetch(String name, String version, long mebibytes) {
        URI uri = store.resolve("/weights/" + name + "/" + version + "?mebibytes=" + mebibytes);
        try {
            HttpRequest request = HttpRequest.newBuilder(uri).build();
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode()
                    == STATUS_OK;
        } catch (IOException unreachable) {
            return false;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}

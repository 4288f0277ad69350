package org.tamaracktrack.core.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tamaracktrack.core.config.Configuration.Accelerator;
import org.tamaracktrack.core.config.Configuration.Service;
import org.tamaracktrack.core.config.Configuration.Target;
import org.tamaracktrack.core.config.Configuration.TargetKind;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.TargetId;

/** Reads the targets of a document. */
final class TargetReader {
    private static final String NUMBER = "(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)";
    private static final Pattern ENDPOINT =
            Pattern.compile(
                    "(?:" + NUMBER + "(?:\\." + NUMBER + "){3}|\\[[0-9A-Fa-f:]{2,39}]):(\\d{1,5})");
    private static final int HIGHEST_PORT = 65_535;
    private static final String ENDPOINT_FORM =
            "an IP number and a port, such as 10.0.0.1:8000 or [::1]:8000";
    private static final Pattern KIND = Pattern.compile("engine|service");
    private static final HostId NO_HOST = HostId.of("none");
    private static final DataCentreId NO_DATA_CENTRE = DataCentreId.of("none");

    private final Map<ServiceId, Service> services;

    private TargetReader(Map<ServiceId, Service> services) {
        this.services = services;
    }

    static TargetReader of(Map<ServiceId, Service> services) {
        return new TargetReader(services);
    }

    Target read(TargetId id, Section section) {
        boolean isService = "service".equals(section.text("kind", KIND, "one of engine, service"));
        Target result =
                new Target(
                        id,
                        isService ? TargetKind.SERVICE : TargetKind.ENGINE,
                        section.identifier("host", HostId::of).orElse(NO_HOST),
                        section.identifier("dataCentre", DataCentreId::of).orElse(NO_DATA_CENTRE),
                        endpoint(section),
                        (int) section.integer("concurrency", 1, ConfigurationReader.MAXIMUM_COUNT),
                        isService ? List.of() : accelerators(section),
                        !isService && section.flag("checksFencing"),
                        isService
                                ? section.reference("service", ServiceId::of, services.keySet())
                                : Optional.empty());
        section.reportUnknownKeys();
        return result;
    }

    private static String endpoint(Section section) {
        String endpoint = section.text("endpoint", ENDPOINT, ENDPOINT_FORM);
        Matcher matcher = ENDPOINT.matcher(endpoint);
        if (matcher.matches()) {
            int port = Integer.parseInt(matcher.group(1));
            if (port < 1 || port > HIGHEST_PORT) {
                section.addProblem(
                        ProblemKind.OUT_OF_RANGE,
                        "endpoint",
                        "port " + port,
                        "a port from 1 to " + HIGHEST_PORT);
            }
        }
        return endpoint;
    }

    private static List<Accelerator> accelerators(Section section) {
        List<Accelerator> accelerators =
                List.copyOf(
                        section.entries(
                                        "accelerators",
                                        AcceleratorId::of,
                                        TargetReader::accelerator)
                                .values());
        if (!section.has("accelerators")
                || section.raw("accelerators") instanceof Map<?, ?> map && map.isEmpty()) {
            section.addProblem(
                    ProblemKind.MISSING, "accelerators", "none", "one accelerator or more");
        }
        return accelerators;
    }

    private static Accelerator accelerator(AcceleratorId id, Section section) {
        long memory = section.integer("memoryMebibytes", 1, ConfigurationReader.MAXIMUM_MEBIBYTES);
        long cache = section.integer("cacheMebibytes", 0, ConfigurationReader.MAXIMUM_MEBIBYTES, 0);
        if (cache > 0 && cache >= memory && section.raw("memoryMebibytes") instanceof Number) {
            section.addProblem(
                    ProblemKind.OUT_OF_RANGE,
                    "cacheMebibytes",
                    Long.toString(cache),
                    "less than the accelerator's memory, " + memory);
        }
        section.reportUnknownKeys();
        return new Accelerator(id, memory, cache);
    }
}

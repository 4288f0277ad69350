package org.tamaracktrack.daemon.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.tamaracktrack.core.dispatch.LoadShare;
import org.tamaracktrack.core.dispatch.RelayedReport;
import org.tamaracktrack.core.dispatch.ReportedLoad;
import org.tamaracktrack.core.dispatch.WorkTime;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.TargetId;

/**
 * The datagram with the load of one daemon at targets, encoded by position. The reports follow the
 * shares, where earlier versions stop reading, and are left out when there are none.
 *
 * @param process the name of the process run that sends it
 * @param shares the load by target; the daemon has no requests at targets that are absent
 * @param reports new reports of targets on how long work takes there
 */
record LoadRecord(
        String process, Map<TargetIncarnation, LoadShare> shares, List<RelayedReport> reports) {
    private static final int FIELDS = 4;
    private static final int REPORT_FIELDS = 6;

    LoadRecord {
        Objects.requireNonNull(process, "process is null");
        shares = Map.copyOf(shares);
        reports = List.copyOf(reports);
    }

    byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packString(process);
            packer.packArrayHeader(shares.size() * FIELDS);
            for (Map.Entry<TargetIncarnation, LoadShare> share : shares.entrySet()) {
                packer.packString(share.getKey().target().value());
                packer.packLong(share.getKey().startedAtMillis());
                packer.packInt(share.getValue().outstanding());
                packer.packInt(share.getValue().pendingPromptTokens());
            }
            if (!reports.isEmpty()) {
                packReports(packer);
            }
            return packer.toByteArray();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private void packReports(MessagePacker packer) throws IOException {
        packer.packArrayHeader(reports.size() * REPORT_FIELDS);
        for (RelayedReport report : reports) {
            packer.packString(report.target().target().value());
            packer.packLong(report.target().startedAtMillis());
            packer.packInt(report.load().running());
            packer.packInt(report.load().waiting());
            packer.packDouble(report.load().workTime().map(WorkTime::percent).orElse(0.0));
            packer.packLong(report.ageMillis());
        }
    }

    static LoadRecord decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            String process = unpacker.unpackString();
            int count = unpacker.unpackArrayHeader() / FIELDS;
            Map<TargetIncarnation, LoadShare> shares = new HashMap<>();
            for (int index = 0; index < count; index++) {
                TargetId target = TargetId.of(unpacker.unpackString());
                long startedAtMillis = unpacker.unpackLong();
                shares.put(
                        new TargetIncarnation(target, startedAtMillis),
                        new LoadShare(count(unpacker), count(unpacker)));
            }
            return new LoadRecord(process, shares, unpackReports(unpacker));
        } catch (IOException | MessagePackException unreadable) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_FRAME, "load datagram can't be decoded", unreadable);
        }
    }

    private static List<RelayedReport> unpackReports(MessageUnpacker unpacker) throws IOException {
        if (!unpacker.hasNext()) {
            return List.of();
        }
        int count = unpacker.unpackArrayHeader() / REPORT_FIELDS;
        List<RelayedReport> reports = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            TargetId target = TargetId.of(unpacker.unpackString());
            long startedAtMillis = unpacker.unpackLong();
            ReportedLoad load =
                    new ReportedLoad(
                            count(unpacker),
                            count(unpacker),
                            WorkTime.ofPercent(unpacker.unpackDouble()));
            long ageMillis = Math.max(0, unpacker.unpackLong());
            reports.add(
                    new RelayedReport(
                            new TargetIncarnation(target, startedAtMillis), load, ageMillis));
        }
        return reports;
    }

    private static int count(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackInt();
        if (count < 0) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_FRAME, "load datagram contains a negative count");
        }
        return count;
    }
}

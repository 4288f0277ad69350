package org.tamaracktrack.daemon.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.tamaracktrack.core.admission.ServiceUsage;
import org.tamaracktrack.core.admission.UsageReport;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;

/**
 * Encodes and decodes the datagram with the usage of client accounts, by position: nil, process,
 * sequence number and an array of services, each with the number and the tokens of the accounts
 * that are reported together and an array of account and tokens.
 */
final class UsageRecord {
    private static final int SERVICE_FIELDS = 4;
    private static final int ACCOUNT_FIELDS = 2;

    private UsageRecord() {}

    static byte[] encode(UsageReport report) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packNil().packString(report.process()).packLong(report.sequence());
            packer.packArrayHeader(report.services().size() * SERVICE_FIELDS);
            for (Map.Entry<ServiceId, ServiceUsage> service : report.services().entrySet()) {
                ServiceUsage usage = service.getValue();
                packer.packString(service.getKey().value())
                        .packInt(usage.otherAccounts())
                        .packLong(usage.otherTokens())
                        .packArrayHeader(usage.tokens().size() * ACCOUNT_FIELDS);
                for (Map.Entry<ClientAccountId, Long> account : usage.tokens().entrySet()) {
                    packer.packString(account.getKey().value()).packLong(account.getValue());
                }
            }
            return packer.toByteArray();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /**
     * Decodes a datagram.
     *
     * @throws TamaracktrackException with {@code BAD_FRAME} or {@code BAD_IDENTIFIER} if it is not
     *     a usage datagram
     */
    static UsageReport decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            unpacker.unpackNil();
            String process = unpacker.unpackString();
            long sequence = unpacker.unpackLong();
            int count = unpacker.unpackArrayHeader() / SERVICE_FIELDS;
            Map<ServiceId, ServiceUsage> services = new HashMap<>();
            for (int index = 0; index < count; index++) {
                ServiceId service = ServiceId.of(unpacker.unpackString());
                int otherAccounts = unpacker.unpackInt();
                long otherTokens = unpacker.unpackLong();
                services.put(
                        service,
                        new ServiceUsage(unpackAccounts(unpacker), otherAccounts, otherTokens));
            }
            return new UsageReport(process, sequence, services);
        } catch (IOException | MessagePackException unreadable) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_FRAME, "usage datagram can't be decoded", unreadable);
        }
    }

    private static Map<ClientAccountId, Long> unpackAccounts(MessageUnpacker unpacker)
            throws IOException {
        int count = unpacker.unpackArrayHeader() / ACCOUNT_FIELDS;
        Map<ClientAccountId, Long> accounts = new HashMap<>();
        for (int index = 0; index < count; index++) {
            accounts.put(ClientAccountId.of(unpacker.unpackString()), unpacker.unpackLong());
        }
        return accounts;
    }
}

package mallowstall.peers;

import static mallowstall.peers.AvroArrays.readList;
import static mallowstall.peers.AvroArrays.writeList;

import java.io.IOException;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.StartRejection;
import mallowstall.core.model.StatusUpdate;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;

/** Encodes and decodes status updates, with their machines and tasks, in Avro's binary encoding. */
final class StatusUpdateCodec {
  // Bits of a machine's flags.
  private static final int TOKEN_ACKNOWLEDGED = 1;
  private static final int USABLE = 2;
  private static final int DRAINING = 4;
  private static final int NEEDS_REPLACEMENT = 8;
  private static final int UNRESPONSIVE = 16;
  private static final int SPOT = 32;
  private static final int LEASE_EXPIRED = 64;
  // In the schema, the first symbol of each enum stands for null. The others follow in the order
  // of these constants.
  private static final TaskState[] STATES = TaskState.values();
  private static final ExitReason[] EXIT_REASONS = ExitReason.values();

  private StatusUpdateCodec() {}

  /** Writes the fields in the order of the schema. */
  static void write(BinaryEncoder encoder, StatusUpdate update) throws IOException {
    encoder.writeString(update.node());
    encoder.writeLong(update.incarnation());
    encoder.writeLong(update.serial());
    encoder.writeLong(update.baseSerial());
    encoder.writeLong(update.acknowledgedIncarnation());
    encoder.writeLong(update.acknowledgedSerial());
    encoder.writeLong(update.replicaRevision());
    encoder.writeLong(update.acknowledgedStartsIncarnation());
    encoder.writeLong(update.acknowledgedStartsConnection());
    encoder.writeLong(update.acknowledgedStartsSequence());
    encoder.writeLong(update.replicaAgeMs());
    writeList(encoder, update.cancelledJobs(), BinaryEncoder::writeString);
    writeList(encoder, update.machines(), StatusUpdateCodec::writeMachineStatus);
    writeList(encoder, update.releasedMachines(), BinaryEncoder::writeString);
    writeList(encoder, update.rejections(), StatusUpdateCodec::writeRejection);
  }

  /** Reads the fields in the order of the schema. Throws an exception if they are malformed. */
  static StatusUpdate read(BinaryDecoder decoder) throws IOException {
    return new StatusUpdate(
        decoder.readString(),
        decoder.readLong(),
        decoder.readLong(),
        decoder.readLong(),
        decoder.readLong(),
        decoder.readLong(),
        decoder.readLong(),
        decoder.readLong(),
        decoder.readLong(),
        decoder.readLong(),
        decoder.readLong(),
        readList(decoder, BinaryDecoder::readString),
        readList(decoder, StatusUpdateCodec::readMachineStatus),
        readList(decoder, BinaryDecoder::readString),
        readList(decoder, StatusUpdateCodec::readRejection));
  }

  private static void writeMachineStatus(BinaryEncoder encoder, MachineStatus status)
      throws IOException {
    encoder.writeString(status.machine());
    encoder.writeString(status.address() == null ? "" : status.address());
    encoder.writeLong(status.fencingToken());
    encoder.writeLong(status.entryRevision());
    encoder.writeLong(status.session());
    encoder.writeLong(status.heartbeatSequence());
    encoder.writeInt(
        (status.tokenAcknowledged() ? TOKEN_ACKNOWLEDGED : 0)
            | (status.usable() ? USABLE : 0)
            | (status.draining() ? DRAINING : 0)
            | (status.needsReplacement() ? NEEDS_REPLACEMENT : 0)
            | (status.unresponsive() ? UNRESPONSIVE : 0)
            | (status.spot() ? SPOT : 0)
            | (status.leaseExpired() ? LEASE_EXPIRED : 0));
    encoder.writeString(status.type());
    encoder.writeString(status.zone());
    encoder.writeDouble(status.interruptionNoticeS());
    encoder.writeDouble(status.freeCpus());
    encoder.writeDouble(status.freeGpus());
    encoder.writeDouble(status.freeMemoryGb());
    encoder.writeLong(status.idleMs());
    writeList(encoder, status.images(), BinaryEncoder::writeString);
    writeList(encoder, status.tasks(), StatusUpdateCodec::writeTaskStatus);
  }

  private static MachineStatus readMachineStatus(BinaryDecoder decoder) throws IOException {
    String id = decoder.readString();
    String address = decoder.readString();
    long token = decoder.readLong();
    long entryRevision = decoder.readLong();
    long session = decoder.readLong();
    long sequence = decoder.readLong();
    int flags = decoder.readInt();
    String type = decoder.readString();
    String zone = decoder.readString();
    return new MachineStatus(
        id,
        address.isEmpty() ? null : address,
        token,
        entryRevision,
        session,
        sequence,
        (flags & TOKEN_ACKNOWLEDGED) != 0,
        (flags & USABLE) != 0,
        (flags & DRAINING) != 0,
        (flags & NEEDS_REPLACEMENT) != 0,
        (flags & UNRESPONSIVE) != 0,
        (flags & LEASE_EXPIRED) != 0,
        type,
        zone,
        (flags & SPOT) != 0,
        decoder.readDouble(),
        decoder.readDouble(),
        decoder.readDouble(),
        decoder.readDouble(),
        decoder.readLong(),
        readList(decoder, BinaryDecoder::readString),
        readList(decoder, StatusUpdateCodec::readTaskStatus));
  }

  private static void writeTaskStatus(BinaryEncoder encoder, TaskStatus task) throws IOException {
    encoder.writeString(task.job());
    encoder.writeInt(task.task());
    encoder.writeLong(task.attempt());
    writeEnumOrNull(encoder, task.state());
    writeEnumOrNull(encoder, task.exitReason());
  }

  private static TaskStatus readTaskStatus(BinaryDecoder decoder) throws IOException {
    String job = decoder.readString();
    int task = decoder.readInt();
    long attempt = decoder.readLong();
    TaskState state = readEnumOrNull(decoder, "task state", STATES);
    ExitReason exitReason = readEnumOrNull(decoder, "exit reason", EXIT_REASONS);
    return new TaskStatus(job, task, attempt, state, exitReason);
  }

  private static void writeEnumOrNull(BinaryEncoder encoder, Enum<?> value) throws IOException {
    encoder.writeEnum(value == null ? 0 : value.ordinal() + 1);
  }

  private static <E> E readEnumOrNull(BinaryDecoder decoder, String field, E[] values)
      throws IOException {
    int index = decoder.readEnum();
    if (index < 0 || index > values.length) {
      throw new IOException(field + " is " + index + ": expected 0 to " + values.length);
    }
    return index == 0 ? null : values[index - 1];
  }

  private static void writeRejection(BinaryEncoder encoder, StartRejection rejection)
      throws IOException {
    encoder.writeString(rejection.machine());
    encoder.writeString(rejection.job());
    encoder.writeInt(rejection.task());
    encoder.writeLong(rejection.attempt());
    encoder.writeString(rejection.reason());
  }

  private static StartRejection readRejection(BinaryDecoder decoder) throws IOException {
    return new StartRejection(
        decoder.readString(),
        decoder.readString(),
        decoder.readInt(),
        decoder.readLong(),
        decoder.readString());
  }
}

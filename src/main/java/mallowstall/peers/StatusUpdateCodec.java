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

/** Status updates, and what they say of machines and tasks, in Avro's binary encoding. */
final class StatusUpdateCodec {
  // bits of a machine's flags
  private static final int TOKEN_ACKNOWLEDGED = 1;
  private static final int USABLE = 2;
  private static final int DRAINING = 4;
  private static final int NEEDS_REPLACEMENT = 8;
  private static final int UNRESPONSIVE = 16;
  private static final int SPOT = 32;
  private static final int LEASE_EXPIRED = 64;
  // the schema lists both enums in the order of their constants, after one for null
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

  /** Reads what {@link #write} has written; anything else fails. */
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

  private static void writeMachineStatus(BinaryEncoder encoder, MachineStatus state)
      throws IOException {
    encoder.writeString(state.machine());
    encoder.writeString(state.address() == null ? "" : state.address());
    encoder.writeLong(state.fencingToken());
    encoder.writeLong(state.entryRevision());
    encoder.writeLong(state.session());
    encoder.writeLong(state.heartbeatSequence());
    encoder.writeInt(
        (state.tokenAcknowledged() ? TOKEN_ACKNOWLEDGED : 0)
            | (state.usable() ? USABLE : 0)
            | (state.draining() ? DRAINING : 0)
            | (state.needsReplacement() ? NEEDS_REPLACEMENT : 0)
            | (state.unresponsive() ? UNRESPONSIVE : 0)
            | (state.spot() ? SPOT : 0)
            | (state.leaseExpired() ? LEASE_EXPIRED : 0));
    encoder.writeString(state.type());
    encoder.writeString(state.zone());
    encoder.writeDouble(state.interruptionNoticeS());
    encoder.writeDouble(state.freeCpus());
    encoder.writeDouble(state.freeGpus());
    encoder.writeDouble(state.freeMemoryGb());
    encoder.writeLong(state.idleMs());
    writeList(encoder, state.images(), BinaryEncoder::writeString);
    writeList(encoder, state.tasks(), StatusUpdateCodec::writeTaskStatus);
  }

  private static MachineStatus readMachineStatus(BinaryDecoder decoder) throws IOException {
    String id = decoder.readString();
    String address = decoder.readString();
    long token = decoder.readLong();
    long version = decoder.readLong();
    long session = decoder.readLong();
    long sequence = decoder.readLong();
    int flags = decoder.readInt();
    String type = decoder.readString();
    String zone = decoder.readString();
    return new MachineStatus(
        id,
        address.isEmpty() ? null : address,
        token,
        version,
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

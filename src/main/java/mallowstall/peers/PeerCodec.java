package mallowstall.peers;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import mallowstall.Constants;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.OutcomeAcknowledgement;
import mallowstall.core.model.OutcomeAnnouncement;
import mallowstall.core.model.PeerMessage;
import mallowstall.core.model.StartBatch;
import mallowstall.core.model.StartRejection;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.StatusUpdate;
import mallowstall.core.model.StopBatch;
import mallowstall.core.model.StopRequest;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;

/**
 * Messages between controllers in Avro's binary encoding, after the schema {@code peers.avsc} (one
 * record around a union). Written field by field: Avro's generic records take several times the
 * start-up time and garbage.
 */
public final class PeerCodec {
  /** Writes one element of an array. */
  private interface ElementWriter<T> {
    void write(BinaryEncoder encoder, T value) throws IOException;
  }

  /** Reads one element of an array. */
  private interface ElementReader<T> {
    T read(BinaryDecoder decoder) throws IOException;
  }

  // the union's branches, in the order of the schema
  private static final int STATUS_UPDATE = 0;
  private static final int START_BATCH = 1;
  private static final int STOP_BATCH = 2;
  private static final int OUTCOME_ANNOUNCEMENT = 3;
  private static final int OUTCOME_ACKNOWLEDGEMENT = 4;

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
  // the outcomes that can be announced, in the order of the schema
  private static final List<JobOutcome> OUTCOMES = List.of(JobOutcome.DONE, JobOutcome.CANCELLED);

  static {
    // without this limit a few bytes can make the decoder allocate two gigabytes
    System.setProperty(
        "org.apache.avro.limits.string.maxLength", String.valueOf(Constants.PEER_TEXT_MAX_BYTES));
  }

  private PeerCodec() {}

  /** The message in Avro's binary encoding, with its kind before it. */
  public static byte[] encode(PeerMessage message) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(1024);
    BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(out, null);
    try {
      if (message instanceof StatusUpdate update) {
        encoder.writeIndex(STATUS_UPDATE);
        writeStatusUpdate(encoder, update);
      } else if (message instanceof StartBatch startBatch) {
        encoder.writeIndex(START_BATCH);
        encoder.writeString(startBatch.node());
        encoder.writeLong(startBatch.incarnation());
        encoder.writeLong(startBatch.connection());
        encoder.writeLong(startBatch.sequence());
        writeList(encoder, startBatch.starts(), PeerCodec::writeStart);
      } else if (message instanceof StopBatch stopBatch) {
        encoder.writeIndex(STOP_BATCH);
        encoder.writeString(stopBatch.node());
        encoder.writeLong(stopBatch.incarnation());
        writeList(encoder, stopBatch.stops(), PeerCodec::writeStop);
        writeList(encoder, stopBatch.machinesToDrain(), BinaryEncoder::writeString);
      } else if (message instanceof OutcomeAnnouncement announcement) {
        encoder.writeIndex(OUTCOME_ANNOUNCEMENT);
        encoder.writeString(announcement.node());
        encoder.writeString(announcement.job());
        encoder.writeEnum(OUTCOMES.indexOf(announcement.outcome()));
      } else if (message instanceof OutcomeAcknowledgement acknowledgement) {
        encoder.writeIndex(OUTCOME_ACKNOWLEDGEMENT);
        encoder.writeString(acknowledgement.node());
        encoder.writeString(acknowledgement.job());
      }
      encoder.flush();
    } catch (IOException impossible) {
      throw new IllegalStateException(impossible);
    }
    return out.toByteArray();
  }

  /** Decodes a message; any other bytes give an {@link IOException}, whatever they are. */
  public static PeerMessage decode(byte[] bytes) throws IOException {
    try {
      return readMessage(bytes);
    } catch (RuntimeException failure) {
      throw new IOException("malformed message", failure);
    }
  }

  private static PeerMessage readMessage(byte[] bytes) throws IOException {
    BinaryDecoder decoder = DecoderFactory.get().binaryDecoder(bytes, null);
    int kind = decoder.readIndex();
    return switch (kind) {
      case STATUS_UPDATE -> readStatusUpdate(decoder);
      case START_BATCH ->
          new StartBatch(
              decoder.readString(),
              decoder.readLong(),
              decoder.readLong(),
              decoder.readLong(),
              readList(decoder, PeerCodec::readStart));
      case STOP_BATCH ->
          new StopBatch(
              decoder.readString(),
              decoder.readLong(),
              readList(decoder, PeerCodec::readStop),
              readList(decoder, BinaryDecoder::readString));
      case OUTCOME_ANNOUNCEMENT ->
          new OutcomeAnnouncement(decoder.readString(), decoder.readString(), readOutcome(decoder));
      case OUTCOME_ACKNOWLEDGEMENT ->
          new OutcomeAcknowledgement(decoder.readString(), decoder.readString());
      default ->
          throw new IOException(
              "message kind is " + kind + ": expected 0 to " + OUTCOME_ACKNOWLEDGEMENT);
    };
  }

  private static JobOutcome readOutcome(BinaryDecoder decoder) throws IOException {
    int index = decoder.readEnum();
    if (index < 0 || index >= OUTCOMES.size()) {
      throw new IOException("outcome is " + index + ": expected 0 to " + (OUTCOMES.size() - 1));
    }
    return OUTCOMES.get(index);
  }

  private static <T> void writeList(BinaryEncoder encoder, List<T> values, ElementWriter<T> element)
      throws IOException {
    encoder.writeArrayStart();
    encoder.setItemCount(values.size());
    for (T value : values) {
      encoder.startItem();
      element.write(encoder, value);
    }
    encoder.writeArrayEnd();
  }

  private static <T> List<T> readList(BinaryDecoder decoder, ElementReader<T> element)
      throws IOException {
    List<T> out = new ArrayList<>();
    for (long n = decoder.readArrayStart(); n != 0; n = decoder.arrayNext()) {
      for (long i = 0; i < n; i++) {
        out.add(element.read(decoder));
      }
    }
    return out;
  }

  private static void writeStatusUpdate(BinaryEncoder encoder, StatusUpdate update)
      throws IOException {
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
    writeList(encoder, update.machines(), PeerCodec::writeMachineStatus);
    writeList(encoder, update.releasedMachines(), BinaryEncoder::writeString);
    writeList(encoder, update.rejections(), PeerCodec::writeRejection);
  }

  private static StatusUpdate readStatusUpdate(BinaryDecoder decoder) throws IOException {
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
        readList(decoder, PeerCodec::readMachineStatus),
        readList(decoder, BinaryDecoder::readString),
        readList(decoder, PeerCodec::readRejection));
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
    writeList(encoder, state.tasks(), PeerCodec::writeTaskStatus);
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
        readList(decoder, PeerCodec::readTaskStatus));
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

  private static void writeStart(BinaryEncoder encoder, StartRequest start) throws IOException {
    encoder.writeString(start.machine());
    encoder.writeString(start.job());
    encoder.writeInt(start.task());
    encoder.writeLong(start.attempt());
    encoder.writeLong(start.leaderEpoch());
    encoder.writeLong(start.expiryWallMs());
    writeList(encoder, start.victims(), PeerCodec::writeTaskAttempt);
  }

  private static void writeTaskAttempt(BinaryEncoder encoder, TaskAttempt attempt)
      throws IOException {
    encoder.writeString(attempt.job());
    encoder.writeInt(attempt.task());
    encoder.writeLong(attempt.attempt());
  }

  private static TaskAttempt readTaskAttempt(BinaryDecoder decoder) throws IOException {
    return new TaskAttempt(decoder.readString(), decoder.readInt(), decoder.readLong());
  }

  private static StartRequest readStart(BinaryDecoder decoder) throws IOException {
    return new StartRequest(
        decoder.readString(),
        decoder.readString(),
        decoder.readInt(),
        decoder.readLong(),
        decoder.readLong(),
        decoder.readLong(),
        readList(decoder, PeerCodec::readTaskAttempt));
  }

  private static void writeStop(BinaryEncoder encoder, StopRequest stop) throws IOException {
    encoder.writeString(stop.machine());
    encoder.writeString(stop.job());
    encoder.writeInt(stop.task());
    encoder.writeLong(stop.attempt());
    encoder.writeDouble(stop.gracePeriodS());
  }

  private static StopRequest readStop(BinaryDecoder decoder) throws IOException {
    return new StopRequest(
        decoder.readString(),
        decoder.readString(),
        decoder.readInt(),
        decoder.readLong(),
        decoder.readDouble());
  }
}

package mallowstall.peers;

import static mallowstall.peers.AvroArrays.readList;
import static mallowstall.peers.AvroArrays.writeList;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import mallowstall.core.model.AcceptanceQuery;
import mallowstall.core.model.AcceptanceQueryEnd;
import mallowstall.core.model.AcceptanceReply;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.OutcomeAcknowledgement;
import mallowstall.core.model.OutcomeAnnouncement;
import mallowstall.core.model.PeerMessage;
import mallowstall.core.model.RunStateQuery;
import mallowstall.core.model.RunStateReply;
import mallowstall.core.model.StartBatch;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.StatusUpdate;
import mallowstall.core.model.StopBatch;
import mallowstall.core.model.StopRequest;
import mallowstall.core.model.TaskAttempt;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;

/**
 * Encodes and decodes the messages between controllers in Avro's binary encoding. The schema {@code
 * peers.avsc} is a record with one field, which is a union of the messages. The codec handles each
 * field in code, because Avro's generic records take several times the start-up time and produce
 * several times the garbage.
 */
public final class PeerCodec {
  /** Maximum length in bytes of a string in a peer's message. Names are far shorter. */
  private static final int PEER_TEXT_MAX_BYTES = 64 << 10;

  // Indexes of the union's branches, in the order of the schema.
  private static final int STATUS_UPDATE = 0;
  private static final int START_BATCH = 1;
  private static final int STOP_BATCH = 2;
  private static final int OUTCOME_ANNOUNCEMENT = 3;
  private static final int OUTCOME_ACKNOWLEDGEMENT = 4;
  private static final int ACCEPTANCE_QUERY = 5;
  private static final int ACCEPTANCE_REPLY = 6;
  private static final int ACCEPTANCE_QUERY_END = 7;
  private static final int RUN_STATE_QUERY = 8;
  private static final int RUN_STATE_REPLY = 9;

  // The outcomes that are announced, in the order of the schema.
  private static final List<JobOutcome> OUTCOMES = List.of(JobOutcome.DONE, JobOutcome.CANCELLED);

  static {
    // Without this limit, a message of a few bytes can make the decoder allocate two gigabytes.
    System.setProperty(
        "org.apache.avro.limits.string.maxLength", String.valueOf(PEER_TEXT_MAX_BYTES));
  }

  private PeerCodec() {}

  /**
   * Returns the message in Avro's binary encoding: the index of the union's branch, then the
   * fields.
   */
  public static byte[] encode(PeerMessage message) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(1024);
    BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(out, null);
    try {
      if (message instanceof StatusUpdate update) {
        encoder.writeIndex(STATUS_UPDATE);
        StatusUpdateCodec.write(encoder, update);
      } else if (message instanceof StartBatch startBatch) {
        encoder.writeIndex(START_BATCH);
        writeStartBatch(encoder, startBatch);
      } else if (message instanceof StopBatch stopBatch) {
        encoder.writeIndex(STOP_BATCH);
        writeStopBatch(encoder, stopBatch);
      } else if (message instanceof OutcomeAnnouncement announcement) {
        encoder.writeIndex(OUTCOME_ANNOUNCEMENT);
        encoder.writeString(announcement.node());
        encoder.writeString(announcement.job());
        encoder.writeEnum(OUTCOMES.indexOf(announcement.outcome()));
      } else if (message instanceof OutcomeAcknowledgement acknowledgement) {
        encoder.writeIndex(OUTCOME_ACKNOWLEDGEMENT);
        encoder.writeString(acknowledgement.node());
        encoder.writeString(acknowledgement.job());
      } else {
        writeQueryMessage(encoder, message);
      }
      encoder.flush();
    } catch (IOException impossible) {
      throw new IllegalStateException(impossible);
    }
    return out.toByteArray();
  }

  /** Writes a query to other controllers, or a message that concerns one. */
  private static void writeQueryMessage(BinaryEncoder encoder, PeerMessage message)
      throws IOException {
    if (message instanceof AcceptanceQuery query) {
      encoder.writeIndex(ACCEPTANCE_QUERY);
      writeQueryHeader(encoder, query.node(), query.incarnation(), query.serial());
      writeList(encoder, query.jobs(), BinaryEncoder::writeString);
    } else if (message instanceof AcceptanceReply reply) {
      encoder.writeIndex(ACCEPTANCE_REPLY);
      writeQueryHeader(encoder, reply.node(), reply.incarnation(), reply.serial());
      writeList(encoder, reply.possiblyAccepted(), BinaryEncoder::writeString);
    } else if (message instanceof AcceptanceQueryEnd queryEnd) {
      encoder.writeIndex(ACCEPTANCE_QUERY_END);
      writeQueryEnd(encoder, queryEnd);
    } else if (message instanceof RunStateQuery query) {
      encoder.writeIndex(RUN_STATE_QUERY);
      RunStateCodec.writeQuery(encoder, query);
    } else if (message instanceof RunStateReply reply) {
      encoder.writeIndex(RUN_STATE_REPLY);
      RunStateCodec.writeReply(encoder, reply);
    }
  }

  /** Decodes a message. Throws an {@link IOException} for any bytes that can't be decoded. */
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
      case STATUS_UPDATE -> StatusUpdateCodec.read(decoder);
      case START_BATCH -> readStartBatch(decoder);
      case STOP_BATCH -> readStopBatch(decoder);
      case OUTCOME_ANNOUNCEMENT ->
          new OutcomeAnnouncement(decoder.readString(), decoder.readString(), readOutcome(decoder));
      case OUTCOME_ACKNOWLEDGEMENT ->
          new OutcomeAcknowledgement(decoder.readString(), decoder.readString());
      case ACCEPTANCE_QUERY ->
          new AcceptanceQuery(
              decoder.readString(),
              decoder.readLong(),
              decoder.readLong(),
              readList(decoder, BinaryDecoder::readString));
      case ACCEPTANCE_REPLY ->
          new AcceptanceReply(
              decoder.readString(),
              decoder.readLong(),
              decoder.readLong(),
              readList(decoder, BinaryDecoder::readString));
      case ACCEPTANCE_QUERY_END -> readQueryEnd(decoder);
      case RUN_STATE_QUERY -> RunStateCodec.readQuery(decoder);
      case RUN_STATE_REPLY -> RunStateCodec.readReply(decoder);
      default ->
          throw new IOException("message kind is " + kind + ": expected 0 to " + RUN_STATE_REPLY);
    };
  }

  /** Writes the sending controller, then the incarnation and serial that identify the query. */
  private static void writeQueryHeader(
      BinaryEncoder encoder, String node, long incarnation, long serial) throws IOException {
    encoder.writeString(node);
    encoder.writeLong(incarnation);
    encoder.writeLong(serial);
  }

  private static void writeQueryEnd(BinaryEncoder encoder, AcceptanceQueryEnd queryEnd)
      throws IOException {
    writeQueryHeader(encoder, queryEnd.node(), queryEnd.incarnation(), queryEnd.serial());
    writeList(encoder, queryEnd.jobs(), BinaryEncoder::writeString);
    encoder.writeLong(queryEnd.jobsSerial());
  }

  /** Reads the end of a query. An older version's message ends before the jobs. */
  private static AcceptanceQueryEnd readQueryEnd(BinaryDecoder decoder) throws IOException {
    String node = decoder.readString();
    long incarnation = decoder.readLong();
    long serial = decoder.readLong();
    return decoder.isEnd()
        ? new AcceptanceQueryEnd(node, incarnation, serial)
        : new AcceptanceQueryEnd(
            node,
            incarnation,
            serial,
            readList(decoder, BinaryDecoder::readString),
            decoder.readLong());
  }

  private static JobOutcome readOutcome(BinaryDecoder decoder) throws IOException {
    int index = decoder.readEnum();
    if (index < 0 || index >= OUTCOMES.size()) {
      throw new IOException("outcome is " + index + ": expected 0 to " + (OUTCOMES.size() - 1));
    }
    return OUTCOMES.get(index);
  }

  private static void writeStartBatch(BinaryEncoder encoder, StartBatch startBatch)
      throws IOException {
    encoder.writeString(startBatch.node());
    encoder.writeLong(startBatch.incarnation());
    encoder.writeLong(startBatch.connection());
    encoder.writeLong(startBatch.sequence());
    writeList(encoder, startBatch.starts(), PeerCodec::writeStart);
    // Without the last field, the bytes equal those of a version that doesn't know it.
    if (startBatch.receiverIncarnation() != 0) {
      encoder.writeLong(startBatch.receiverIncarnation());
    }
  }

  private static StartBatch readStartBatch(BinaryDecoder decoder) throws IOException {
    return new StartBatch(
        decoder.readString(),
        decoder.readLong(),
        decoder.readLong(),
        decoder.readLong(),
        readList(decoder, PeerCodec::readStart),
        decoder.isEnd() ? 0 : decoder.readLong());
  }

  private static void writeStopBatch(BinaryEncoder encoder, StopBatch stopBatch)
      throws IOException {
    encoder.writeString(stopBatch.node());
    encoder.writeLong(stopBatch.incarnation());
    writeList(encoder, stopBatch.stops(), PeerCodec::writeStop);
    writeList(encoder, stopBatch.machinesToDrain(), BinaryEncoder::writeString);
  }

  private static StopBatch readStopBatch(BinaryDecoder decoder) throws IOException {
    return new StopBatch(
        decoder.readString(),
        decoder.readLong(),
        readList(decoder, PeerCodec::readStop),
        readList(decoder, BinaryDecoder::readString));
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

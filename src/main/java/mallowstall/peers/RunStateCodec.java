package mallowstall.peers;

import static mallowstall.peers.AvroArrays.readList;
import static mallowstall.peers.AvroArrays.writeList;

import java.io.IOException;
import mallowstall.core.model.RunState;
import mallowstall.core.model.RunStateAnswer;
import mallowstall.core.model.RunStateQuery;
import mallowstall.core.model.RunStateQuestion;
import mallowstall.core.model.RunStateReply;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;

/** Encodes and decodes queries about running tasks and their replies in Avro's binary encoding. */
final class RunStateCodec {
  // The states are encoded in the order of these constants, as in the schema.
  private static final RunState[] STATES = RunState.values();

  private RunStateCodec() {}

  static void writeQuery(BinaryEncoder encoder, RunStateQuery query) throws IOException {
    encoder.writeString(query.node());
    encoder.writeLong(query.incarnation());
    encoder.writeLong(query.serial());
    writeList(encoder, query.questions(), RunStateCodec::writeQuestion);
  }

  static RunStateQuery readQuery(BinaryDecoder decoder) throws IOException {
    return new RunStateQuery(
        decoder.readString(),
        decoder.readLong(),
        decoder.readLong(),
        readList(decoder, RunStateCodec::readQuestion));
  }

  static void writeReply(BinaryEncoder encoder, RunStateReply reply) throws IOException {
    encoder.writeString(reply.node());
    encoder.writeString(reply.asker());
    encoder.writeLong(reply.incarnation());
    encoder.writeLong(reply.serial());
    writeList(encoder, reply.answers(), RunStateCodec::writeAnswer);
  }

  static RunStateReply readReply(BinaryDecoder decoder) throws IOException {
    return new RunStateReply(
        decoder.readString(),
        decoder.readString(),
        decoder.readLong(),
        decoder.readLong(),
        readList(decoder, RunStateCodec::readAnswer));
  }

  private static void writeQuestion(BinaryEncoder encoder, RunStateQuestion question)
      throws IOException {
    encoder.writeString(question.job());
    encoder.writeLong(question.leaderEpoch());
    writeList(encoder, question.machines(), BinaryEncoder::writeString);
    encoder.writeLong(question.maxAgeMs());
  }

  private static RunStateQuestion readQuestion(BinaryDecoder decoder) throws IOException {
    return new RunStateQuestion(
        decoder.readString(),
        decoder.readLong(),
        readList(decoder, BinaryDecoder::readString),
        decoder.readLong());
  }

  private static void writeAnswer(BinaryEncoder encoder, RunStateAnswer answer) throws IOException {
    encoder.writeString(answer.job());
    encoder.writeEnum(answer.state().ordinal());
    encoder.writeInt(answer.runningTasks());
    encoder.writeLong(answer.sinceAgeMs());
    encoder.writeLong(answer.ageMs());
  }

  private static RunStateAnswer readAnswer(BinaryDecoder decoder) throws IOException {
    return new RunStateAnswer(
        decoder.readString(),
        readState(decoder),
        decoder.readInt(),
        decoder.readLong(),
        decoder.readLong());
  }

  private static RunState readState(BinaryDecoder decoder) throws IOException {
    int index = decoder.readEnum();
    if (index < 0 || index >= STATES.length) {
      throw new IOException("run state is " + index + ": expected 0 to " + (STATES.length - 1));
    }
    return STATES[index];
  }
}

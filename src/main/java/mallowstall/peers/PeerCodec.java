package mallowstall.peers;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import mallowstall.Constants;
import mallowstall.core.Model.ExitReason;
import mallowstall.core.Model.PeerMessage;
import mallowstall.core.Model.Refusal;
import mallowstall.core.Model.Roster;
import mallowstall.core.Model.RosterMachine;
import mallowstall.core.Model.RosterTask;
import mallowstall.core.Model.StartOrder;
import mallowstall.core.Model.Starts;
import mallowstall.core.Model.StopOrder;
import mallowstall.core.Model.Stops;
import mallowstall.core.Model.TaskRef;
import mallowstall.core.Model.TaskState;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;

/**
 * Messages between controllers in Avro's binary encoding, after the schema {@code peers.avsc} (one
 * record around a union). Written field by field with Avro's encoder: generic records cost several
 * times the start-up time and garbage, which these machines don't have to spare.
 */
public final class PeerCodec {
  /** Writes one element of an array. */
  private interface Write<T> {
    void to(BinaryEncoder encoder, T v) throws IOException;
  }

  /** Reads one element of an array. */
  private interface Read<T> {
    T from(BinaryDecoder decoder) throws IOException;
  }

  private static final int CONFIRMED = 1;
  private static final int USABLE = 2;
  private static final int DRAINING = 4;
  private static final int REPLACE = 8;
  private static final int SILENT = 16;
  private static final int SPOT = 32;
  private static final int LOST = 64;
  private static final TaskState[] STATES = TaskState.values();
  private static final ExitReason[] EXIT_REASONS = ExitReason.values();

  static {
    // else a few bytes may ask for a text of two gigabytes
    System.setProperty(
        "org.apache.avro.limits.string.maxLength", String.valueOf(Constants.PEER_TEXT_MAX));
  }

  private PeerCodec() {}

  /** The message in Avro's binary encoding, with its kind before it. */
  public static byte[] encode(PeerMessage message) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(1024);
    BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(out, null);
    try {
      if (message instanceof Roster statement) {
        encoder.writeIndex(0);
        roster(encoder, statement);
      } else if (message instanceof Starts starts) {
        encoder.writeIndex(1);
        encoder.writeString(starts.node());
        encoder.writeLong(starts.incarnation());
        encoder.writeLong(starts.connection());
        encoder.writeLong(starts.seq());
        list(encoder, starts.starts(), PeerCodec::start);
      } else if (message instanceof Stops stops) {
        encoder.writeIndex(2);
        encoder.writeString(stops.node());
        encoder.writeLong(stops.incarnation());
        list(encoder, stops.stops(), PeerCodec::stop);
        list(encoder, stops.drains(), BinaryEncoder::writeString);
      }
      encoder.flush();
    } catch (IOException x) {
      throw new IllegalStateException(x);
    }
    return out.toByteArray();
  }

  /** Whatever the bytes are: a message, or an {@link IOException}. */
  public static PeerMessage decode(byte[] b) throws IOException {
    try {
      return message(b);
    } catch (RuntimeException failure) {
      throw new IOException("malformed message", failure);
    }
  }

  private static PeerMessage message(byte[] b) throws IOException {
    BinaryDecoder decoder = DecoderFactory.get().binaryDecoder(b, null);
    int kind = decoder.readIndex();
    return switch (kind) {
      case 0 -> roster(decoder);
      case 1 ->
          new Starts(
              decoder.readString(),
              decoder.readLong(),
              decoder.readLong(),
              decoder.readLong(),
              list(decoder, PeerCodec::start));
      case 2 ->
          new Stops(
              decoder.readString(),
              decoder.readLong(),
              list(decoder, PeerCodec::stop),
              list(decoder, BinaryDecoder::readString));
      default -> throw new IOException("unknown message kind " + kind);
    };
  }

  private static <T> void list(BinaryEncoder encoder, List<T> l, Write<T> w) throws IOException {
    encoder.writeArrayStart();
    encoder.setItemCount(l.size());
    for (T task : l) {
      encoder.startItem();
      w.to(encoder, task);
    }
    encoder.writeArrayEnd();
  }

  private static <T> List<T> list(BinaryDecoder decoder, Read<T> r) throws IOException {
    List<T> out = new ArrayList<>();
    for (long n = decoder.readArrayStart(); n != 0; n = decoder.arrayNext()) {
      for (long i = 0; i < n; i++) {
        out.add(r.from(decoder));
      }
    }
    return out;
  }

  private static void roster(BinaryEncoder encoder, Roster roster) throws IOException {
    encoder.writeString(roster.node());
    encoder.writeLong(roster.incarnation());
    encoder.writeLong(roster.serial());
    encoder.writeLong(roster.since());
    encoder.writeLong(roster.heardIncarnation());
    encoder.writeLong(roster.heardSerial());
    encoder.writeLong(roster.mirrorRevision());
    encoder.writeLong(roster.ackedIncarnation());
    encoder.writeLong(roster.ackedConnection());
    encoder.writeLong(roster.ackedSeq());
    encoder.writeLong(roster.sinceMirrorMs());
    list(encoder, roster.cancelled(), BinaryEncoder::writeString);
    list(encoder, roster.machines(), PeerCodec::machine);
    list(encoder, roster.gone(), BinaryEncoder::writeString);
    list(encoder, roster.refusals(), PeerCodec::refusal);
  }

  private static Roster roster(BinaryDecoder decoder) throws IOException {
    return new Roster(
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
        list(decoder, BinaryDecoder::readString),
        list(decoder, PeerCodec::machine),
        list(decoder, BinaryDecoder::readString),
        list(decoder, PeerCodec::refusal));
  }

  private static void machine(BinaryEncoder encoder, RosterMachine state) throws IOException {
    encoder.writeString(state.machine());
    encoder.writeString(state.addr() == null ? "" : state.addr());
    encoder.writeLong(state.token());
    encoder.writeLong(state.version());
    encoder.writeLong(state.session());
    encoder.writeLong(state.seq());
    encoder.writeInt(
        (state.confirmed() ? CONFIRMED : 0)
            | (state.usable() ? USABLE : 0)
            | (state.draining() ? DRAINING : 0)
            | (state.replace() ? REPLACE : 0)
            | (state.silent() ? SILENT : 0)
            | (state.spot() ? SPOT : 0)
            | (state.lost() ? LOST : 0));
    encoder.writeString(state.type());
    encoder.writeString(state.zone());
    encoder.writeDouble(state.noticeS());
    encoder.writeDouble(state.freeCpus());
    encoder.writeDouble(state.freeGpus());
    encoder.writeDouble(state.freeMemoryGb());
    encoder.writeLong(state.idleMs());
    list(encoder, state.images(), BinaryEncoder::writeString);
    list(encoder, state.tasks(), PeerCodec::task);
  }

  private static RosterMachine machine(BinaryDecoder decoder) throws IOException {
    String id = decoder.readString();
    String addr = decoder.readString();
    long token = decoder.readLong();
    long version = decoder.readLong();
    long session = decoder.readLong();
    long seq = decoder.readLong();
    int f = decoder.readInt();
    String type = decoder.readString();
    String zone = decoder.readString();
    return new RosterMachine(
        id,
        addr.isEmpty() ? null : addr,
        token,
        version,
        session,
        seq,
        (f & CONFIRMED) != 0,
        (f & USABLE) != 0,
        (f & DRAINING) != 0,
        (f & REPLACE) != 0,
        (f & SILENT) != 0,
        (f & LOST) != 0,
        type,
        zone,
        (f & SPOT) != 0,
        decoder.readDouble(),
        decoder.readDouble(),
        decoder.readDouble(),
        decoder.readDouble(),
        decoder.readLong(),
        list(decoder, BinaryDecoder::readString),
        list(decoder, PeerCodec::task));
  }

  private static void task(BinaryEncoder encoder, RosterTask task) throws IOException {
    encoder.writeString(task.job());
    encoder.writeInt(task.task());
    encoder.writeLong(task.attempt());
    encoder.writeEnum(task.state() == null ? 0 : task.state().ordinal() + 1);
    encoder.writeEnum(task.why() == null ? 0 : task.why().ordinal() + 1);
  }

  private static RosterTask task(BinaryDecoder decoder) throws IOException {
    String job = decoder.readString();
    int task = decoder.readInt();
    long attempt = decoder.readLong();
    int s = decoder.readEnum();
    int w = decoder.readEnum();
    if (s < 0 || s > STATES.length || w < 0 || w > EXIT_REASONS.length) {
      throw new IOException("unknown enum value");
    }
    return new RosterTask(
        job, task, attempt, s == 0 ? null : STATES[s - 1], w == 0 ? null : EXIT_REASONS[w - 1]);
  }

  private static void refusal(BinaryEncoder encoder, Refusal r) throws IOException {
    encoder.writeString(r.machine());
    encoder.writeString(r.job());
    encoder.writeInt(r.task());
    encoder.writeLong(r.attempt());
    encoder.writeString(r.reason());
  }

  private static Refusal refusal(BinaryDecoder decoder) throws IOException {
    return new Refusal(
        decoder.readString(),
        decoder.readString(),
        decoder.readInt(),
        decoder.readLong(),
        decoder.readString());
  }

  private static void start(BinaryEncoder encoder, StartOrder start) throws IOException {
    encoder.writeString(start.machine());
    encoder.writeString(start.job());
    encoder.writeInt(start.task());
    encoder.writeLong(start.attempt());
    encoder.writeLong(start.epoch());
    encoder.writeLong(start.expiryWallMs());
    list(encoder, start.instead(), PeerCodec::ref);
  }

  private static void ref(BinaryEncoder encoder, TaskRef ref) throws IOException {
    encoder.writeString(ref.job());
    encoder.writeInt(ref.task());
    encoder.writeLong(ref.attempt());
  }

  private static TaskRef ref(BinaryDecoder decoder) throws IOException {
    return new TaskRef(decoder.readString(), decoder.readInt(), decoder.readLong());
  }

  private static StartOrder start(BinaryDecoder decoder) throws IOException {
    return new StartOrder(
        decoder.readString(),
        decoder.readString(),
        decoder.readInt(),
        decoder.readLong(),
        decoder.readLong(),
        decoder.readLong(),
        list(decoder, PeerCodec::ref));
  }

  private static void stop(BinaryEncoder encoder, StopOrder stop) throws IOException {
    encoder.writeString(stop.machine());
    encoder.writeString(stop.job());
    encoder.writeInt(stop.task());
    encoder.writeLong(stop.attempt());
    encoder.writeDouble(stop.graceS());
  }

  private static StopOrder stop(BinaryDecoder decoder) throws IOException {
    return new StopOrder(
        decoder.readString(),
        decoder.readString(),
        decoder.readInt(),
        decoder.readLong(),
        decoder.readDouble());
  }
}

package mallowstall.peers;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import mallowstall.Constants;
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
import mallowstall.core.Model.Why;
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
  private interface Write<T> {
    void to(BinaryEncoder e, T v) throws IOException;
  }

  private interface Read<T> {
    T from(BinaryDecoder d) throws IOException;
  }

  private static final int CONFIRMED = 1;
  private static final int USABLE = 2;
  private static final int DRAINING = 4;
  private static final int REPLACE = 8;
  private static final int SILENT = 16;
  private static final int SPOT = 32;
  private static final int LOST = 64;
  private static final TaskState[] STATES = TaskState.values();
  private static final Why[] WHYS = Why.values();

  static {
    // else a few bytes may ask for a text of two gigabytes
    System.setProperty(
        "org.apache.avro.limits.string.maxLength", String.valueOf(Constants.PEER_TEXT_MAX));
  }

  private PeerCodec() {}

  public static byte[] encode(PeerMessage m) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(1024);
    BinaryEncoder e = EncoderFactory.get().binaryEncoder(out, null);
    try {
      if (m instanceof Roster r) {
        e.writeIndex(0);
        roster(e, r);
      } else if (m instanceof Starts s) {
        e.writeIndex(1);
        e.writeString(s.node());
        e.writeLong(s.incarnation());
        e.writeLong(s.connection());
        e.writeLong(s.seq());
        list(e, s.starts(), PeerCodec::start);
      } else if (m instanceof Stops s) {
        e.writeIndex(2);
        e.writeString(s.node());
        e.writeLong(s.incarnation());
        list(e, s.stops(), PeerCodec::stop);
        list(e, s.drains(), BinaryEncoder::writeString);
      }
      e.flush();
    } catch (IOException x) {
      throw new IllegalStateException(x);
    }
    return out.toByteArray();
  }

  /** Whatever the bytes are: a message, or an {@link IOException}. */
  public static PeerMessage decode(byte[] b) throws IOException {
    try {
      return message(b);
    } catch (RuntimeException e) {
      throw new IOException("malformed message", e);
    }
  }

  private static PeerMessage message(byte[] b) throws IOException {
    BinaryDecoder d = DecoderFactory.get().binaryDecoder(b, null);
    int kind = d.readIndex();
    return switch (kind) {
      case 0 -> roster(d);
      case 1 ->
          new Starts(
              d.readString(), d.readLong(), d.readLong(), d.readLong(), list(d, PeerCodec::start));
      case 2 ->
          new Stops(
              d.readString(),
              d.readLong(),
              list(d, PeerCodec::stop),
              list(d, BinaryDecoder::readString));
      default -> throw new IOException("unknown message kind " + kind);
    };
  }

  private static <T> void list(BinaryEncoder e, List<T> l, Write<T> w) throws IOException {
    e.writeArrayStart();
    e.setItemCount(l.size());
    for (T t : l) {
      e.startItem();
      w.to(e, t);
    }
    e.writeArrayEnd();
  }

  private static <T> List<T> list(BinaryDecoder d, Read<T> r) throws IOException {
    List<T> out = new ArrayList<>();
    for (long n = d.readArrayStart(); n != 0; n = d.arrayNext()) {
      for (long i = 0; i < n; i++) {
        out.add(r.from(d));
      }
    }
    return out;
  }

  private static void roster(BinaryEncoder e, Roster r) throws IOException {
    e.writeString(r.node());
    e.writeLong(r.incarnation());
    e.writeLong(r.serial());
    e.writeLong(r.since());
    e.writeLong(r.heardIncarnation());
    e.writeLong(r.heardSerial());
    e.writeLong(r.mirrorRevision());
    e.writeLong(r.ackedIncarnation());
    e.writeLong(r.ackedConnection());
    e.writeLong(r.ackedSeq());
    e.writeLong(r.sinceMirrorMs());
    list(e, r.cancelled(), BinaryEncoder::writeString);
    list(e, r.machines(), PeerCodec::machine);
    list(e, r.gone(), BinaryEncoder::writeString);
    list(e, r.refusals(), PeerCodec::refusal);
  }

  private static Roster roster(BinaryDecoder d) throws IOException {
    return new Roster(
        d.readString(),
        d.readLong(),
        d.readLong(),
        d.readLong(),
        d.readLong(),
        d.readLong(),
        d.readLong(),
        d.readLong(),
        d.readLong(),
        d.readLong(),
        d.readLong(),
        list(d, BinaryDecoder::readString),
        list(d, PeerCodec::machine),
        list(d, BinaryDecoder::readString),
        list(d, PeerCodec::refusal));
  }

  private static void machine(BinaryEncoder e, RosterMachine m) throws IOException {
    e.writeString(m.machine());
    e.writeString(m.addr() == null ? "" : m.addr());
    e.writeLong(m.token());
    e.writeLong(m.version());
    e.writeLong(m.session());
    e.writeLong(m.seq());
    e.writeInt(
        (m.confirmed() ? CONFIRMED : 0)
            | (m.usable() ? USABLE : 0)
            | (m.draining() ? DRAINING : 0)
            | (m.replace() ? REPLACE : 0)
            | (m.silent() ? SILENT : 0)
            | (m.spot() ? SPOT : 0)
            | (m.lost() ? LOST : 0));
    e.writeString(m.type());
    e.writeString(m.zone());
    e.writeDouble(m.noticeS());
    e.writeDouble(m.freeCpus());
    e.writeDouble(m.freeGpus());
    e.writeDouble(m.freeMemoryGb());
    e.writeLong(m.idleMs());
    list(e, m.images(), BinaryEncoder::writeString);
    list(e, m.tasks(), PeerCodec::task);
  }

  private static RosterMachine machine(BinaryDecoder d) throws IOException {
    String id = d.readString();
    String addr = d.readString();
    long token = d.readLong();
    long version = d.readLong();
    long session = d.readLong();
    long seq = d.readLong();
    int f = d.readInt();
    String type = d.readString();
    String zone = d.readString();
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
        d.readDouble(),
        d.readDouble(),
        d.readDouble(),
        d.readDouble(),
        d.readLong(),
        list(d, BinaryDecoder::readString),
        list(d, PeerCodec::task));
  }

  private static void task(BinaryEncoder e, RosterTask t) throws IOException {
    e.writeString(t.job());
    e.writeInt(t.task());
    e.writeLong(t.attempt());
    e.writeEnum(t.state() == null ? 0 : t.state().ordinal() + 1);
    e.writeEnum(t.why() == null ? 0 : t.why().ordinal() + 1);
  }

  private static RosterTask task(BinaryDecoder d) throws IOException {
    String job = d.readString();
    int task = d.readInt();
    long attempt = d.readLong();
    int s = d.readEnum();
    int w = d.readEnum();
    if (s < 0 || s > STATES.length || w < 0 || w > WHYS.length) {
      throw new IOException("unknown enum value");
    }
    return new RosterTask(
        job, task, attempt, s == 0 ? null : STATES[s - 1], w == 0 ? null : WHYS[w - 1]);
  }

  private static void refusal(BinaryEncoder e, Refusal r) throws IOException {
    e.writeString(r.machine());
    e.writeString(r.job());
    e.writeInt(r.task());
    e.writeLong(r.attempt());
    e.writeString(r.reason());
  }

  private static Refusal refusal(BinaryDecoder d) throws IOException {
    return new Refusal(d.readString(), d.readString(), d.readInt(), d.readLong(), d.readString());
  }

  private static void start(BinaryEncoder e, StartOrder o) throws IOException {
    e.writeString(o.machine());
    e.writeString(o.job());
    e.writeInt(o.task());
    e.writeLong(o.attempt());
    e.writeLong(o.epoch());
    e.writeLong(o.expiryWallMs());
    list(e, o.instead(), PeerCodec::ref);
  }

  private static void ref(BinaryEncoder e, TaskRef t) throws IOException {
    e.writeString(t.job());
    e.writeInt(t.task());
    e.writeLong(t.attempt());
  }

  private static TaskRef ref(BinaryDecoder d) throws IOException {
    return new TaskRef(d.readString(), d.readInt(), d.readLong());
  }

  private static StartOrder start(BinaryDecoder d) throws IOException {
    return new StartOrder(
        d.readString(),
        d.readString(),
        d.readInt(),
        d.readLong(),
        d.readLong(),
        d.readLong(),
        list(d, PeerCodec::ref));
  }

  private static void stop(BinaryEncoder e, StopOrder o) throws IOException {
    e.writeString(o.machine());
    e.writeString(o.job());
    e.writeInt(o.task());
    e.writeLong(o.attempt());
    e.writeDouble(o.graceS());
  }

  private static StopOrder stop(BinaryDecoder d) throws IOException {
    return new StopOrder(d.readString(), d.readString(), d.readInt(), d.readLong(), d.readDouble());
  }
}

package mallowstall.state;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.model.StoredEntry;
import mallowstall.json.JsonReader;
import mallowstall.json.JsonWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Bodies of the state service's HTTP interface; see {@link StateProtocol}. */
final class StateCodec {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.state");

  private StateCodec() {}

  /** A page of keys, or the changes since a revision. */
  record Page(List<KeyValue> items, boolean more, long revision) {}

  /** The revision in a response; 0 if it has none. */
  static Long readRevision(JsonReader in) throws IOException {
    return readNumber(in, StateProtocol.REVISION);
  }

  /** The id of the lease in a response; 0 if it has none. */
  static Long readLease(JsonReader in) throws IOException {
    return readNumber(in, StateProtocol.LEASE);
  }

  private static Long readNumber(JsonReader in, String field) throws IOException {
    Long number = in.fieldOrNull(field, JsonReader::longOrZero);
    return number == null ? 0L : number;
  }

  /** Writes the fields of a transaction. */
  static void write(JsonGenerator out, Transaction transaction) throws IOException {
    JsonWriter.list(out, StateProtocol.CONDITIONS, transaction.conditions(), StateCodec::write);
    out.writeFieldName(StateProtocol.OPERATIONS);
    out.writeStartArray();
    for (PutOperation put : transaction.puts()) {
      write(out, put);
    }
    for (String key : transaction.deletes()) {
      out.writeStartObject();
      out.writeStringField(StateProtocol.DELETE, key);
      out.writeEndObject();
    }
    out.writeEndArray();
  }

  private static void write(JsonGenerator out, Condition condition) throws IOException {
    out.writeStartObject();
    out.writeStringField(StateProtocol.KEY, condition.key());
    out.writeNumberField(StateProtocol.VERSION, condition.modRevision());
    out.writeEndObject();
  }

  private static void write(JsonGenerator out, PutOperation put) throws IOException {
    out.writeStartObject();
    out.writeStringField(StateProtocol.PUT, put.key());
    out.writeFieldName(StateProtocol.VALUE);
    StoredEntries.write(out, put.value());
    if (put.leaseId() != 0) {
      out.writeNumberField(StateProtocol.LEASE, put.leaseId());
    }
    out.writeEndObject();
  }

  /** Reads a page of keys, or of changes. */
  static Page readPage(JsonReader in) throws IOException {
    List<KeyValue> items = null;
    boolean more = false;
    long revision = 0;
    in.enterObject();
    while (in.nextField()) {
      switch (in.field()) {
        case StateProtocol.ENTRIES, StateProtocol.EVENTS -> items = in.list(StateCodec::readItem);
        case StateProtocol.HAS_MORE -> more = in.booleanOrFalse();
        case StateProtocol.REVISION -> revision = in.longOrZero();
        default -> in.skip();
      }
    }
    if (items == null) {
      return new Page(List.of(), more, revision);
    }
    items.removeIf(Objects::isNull);
    return new Page(items, more, revision);
  }

  /** A key with its value, or a change of it; null: the key is unknown or its value unreadable. */
  static KeyValue readItem(JsonReader in) throws IOException {
    String key = null;
    boolean deleted = false;
    StoredEntry value = null;
    JsonReader.Deferred unread = null;
    long version = 0;
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    while (in.nextField()) {
      switch (in.field()) {
        case StateProtocol.KEY, StateProtocol.PUT -> key = in.string();
        case StateProtocol.DELETE -> {
          key = in.string();
          deleted = true;
        }
        case StateProtocol.VALUE -> {
          if (key == null) {
            unread = in.defer();
          } else {
            value = readEntry(key, in);
          }
        }
        case StateProtocol.VERSION -> version = in.longOrZero();
        default -> in.skip();
      }
    }
    if (unread != null && key != null) {
      String name = key;
      value = unread.read(later -> readEntry(name, later));
    }
    return key != null && (deleted || value != null) ? new KeyValue(key, value, version) : null;
  }

  /** The value of the key; null if there is none, or if it can't be read. */
  private static StoredEntry readEntry(String key, JsonReader in) throws IOException {
    return in.readOrSkip(
        value -> StoredEntries.read(key, value),
        failure -> LOG.error("unreadable value of {} reason={}", key, failure.getMessage()));
  }
}

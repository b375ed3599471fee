package mallowstall.state;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.model.StoredEntry;
import mallowstall.json.JsonReader;
import mallowstall.json.JsonWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Encodes and decodes the JSON bodies of the state service's HTTP interface. {@link StateProtocol}
 * holds the field names.
 */
final class StateCodec {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.state");

  private StateCodec() {}

  /**
   * A page of entries, or the changes after a revision.
   *
   * @param items the readable items
   * @param hasMore whether another page follows
   * @param lastKey the key of the last item, readable or not; null if there is none
   */
  record Page(List<KeyValue> items, boolean hasMore, long revision, String lastKey) {}

  /** An item of a page with its key; {@code change} is null if the item is unreadable. */
  record Item(String key, KeyValue change) {}

  /** Returns the revision in a response, or 0 if the response has none. */
  static Long readRevision(JsonReader in) throws IOException {
    return readNumber(in, StateProtocol.REVISION);
  }

  /** Returns the id of the lease in a response, or 0 if the response has none. */
  static Long readLease(JsonReader in) throws IOException {
    return readNumber(in, StateProtocol.LEASE);
  }

  private static Long readNumber(JsonReader in, String field) throws IOException {
    Long number = in.fieldOrNull(field, JsonReader::longOrZero);
    return number == null ? 0L : number;
  }

  /** Writes the conditions and operations of a transaction into an open JSON object. */
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

  /** Reads a page of entries or of changes, without the items that are unreadable. */
  static Page readPage(JsonReader in) throws IOException {
    List<Item> items = List.of();
    boolean hasMore = false;
    long revision = 0;
    in.enterObject();
    while (in.nextField()) {
      switch (in.field()) {
        case StateProtocol.ENTRIES, StateProtocol.EVENTS -> items = in.list(StateCodec::readItem);
        case StateProtocol.HAS_MORE -> hasMore = in.booleanOrFalse();
        case StateProtocol.REVISION -> revision = in.longOrZero();
        default -> in.skip();
      }
    }
    return page(items, hasMore, revision);
  }

  private static Page page(List<Item> items, boolean hasMore, long revision) {
    List<KeyValue> readable = new ArrayList<>();
    String lastKey = null;
    if (items == null) {
      return new Page(readable, hasMore, revision, null);
    }
    for (Item item : items) {
      if (item.change() != null) {
        readable.add(item.change());
      }
      if (item.key() != null) {
        lastKey = item.key();
      }
    }
    return new Page(readable, hasMore, revision, lastKey);
  }

  /**
   * Reads a key with its value, or a change of a key. The item is unreadable if it has no key, or
   * if it is no deletion and its value is absent, unreadable or of an unknown kind of key.
   */
  static Item readItem(JsonReader in) throws IOException {
    String key = null;
    boolean deleted = false;
    StoredEntry value = null;
    JsonReader.Deferred deferredValue = null;
    long version = 0;
    if (!in.enterObjectIfPresent()) {
      return new Item(null, null);
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
            deferredValue = in.defer();
          } else {
            value = readEntry(key, in);
          }
        }
        case StateProtocol.VERSION -> version = in.longOrZero();
        default -> in.skip();
      }
    }
    if (deferredValue != null && key != null) {
      String entryKey = key;
      value = deferredValue.read(document -> readEntry(entryKey, document));
    }
    boolean readable = key != null && (deleted || value != null);
    return new Item(key, readable ? new KeyValue(key, value, version) : null);
  }

  /** Reads the value of the key. Returns null if the value is absent or unreadable. */
  private static StoredEntry readEntry(String key, JsonReader in) throws IOException {
    return in.readOrSkip(
        value -> StoredEntries.read(key, value),
        failure -> LOG.error("unreadable value of {} reason={}", key, failure.getMessage()));
  }
}

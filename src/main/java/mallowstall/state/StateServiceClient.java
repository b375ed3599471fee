package mallowstall.state;

import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.Cond;
import mallowstall.core.Effects.GetReply;
import mallowstall.core.Effects.Item;
import mallowstall.core.Effects.LeaseReply;
import mallowstall.core.Effects.ListReply;
import mallowstall.core.Effects.Put;
import mallowstall.core.Effects.Txn;
import mallowstall.core.Effects.TxnReply;
import mallowstall.core.Effects.WatchReply;
import mallowstall.core.Model.Entry;
import mallowstall.json.JsonReader;
import mallowstall.json.JsonWriter;
import mallowstall.net.HttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The state service's HTTP interface. Values are the core's records as JSON. */
public final class StateServiceClient {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.state");

  /** A page of keys, or the changes since a revision. */
  private record Items(List<Item> items, boolean more, long revision) {}

  private static final String PREFIX = "c/";
  private static final String KEY = "key";
  private static final String SET = "set";
  private static final String DROP = "drop";
  private static final String VALUE = "data";
  private static final String VERSION = "sello";
  private static final String REVISION = "tirada";
  private static final String LEASE = "permiso";

  private final HttpClient calls;
  private final HttpClient watches;
  private final Consumer<Runnable> events;

  /** {@code events} runs what it is given as one event of the core. */
  public StateServiceClient(HttpClient calls, HttpClient watches, Consumer<Runnable> events) {
    this.calls = calls;
    this.watches = watches;
    this.events = events;
  }

  private static Code code(int status) {
    return switch (status) {
      case 200 -> Code.OK;
      case 409 -> Code.CONFLICT;
      case 404, 410 -> Code.GONE;
      case 400 -> Code.MALFORMED;
      case 0 -> Code.UNKNOWN;
      default -> Code.REFUSED;
    };
  }

  private void call(HttpMethod m, String path, byte[] body, Consumer<HttpClient.Reply> then) {
    calls.call(
        m,
        path,
        body,
        Constants.STATE_TIMEOUT_MS,
        reply -> events.accept(() -> then.accept(reply)));
  }

  private static <T> T read(byte[] body, JsonReader.ValueReader<T> value) {
    try {
      return JsonReader.read(body, value);
    } catch (IOException failure) {
      LOG.error("unreadable answer of the state service: {}", failure.getMessage());
      return null;
    }
  }

  /** The one whole number that matters in an answer; null: the answer can't be read. */
  private static Long number(byte[] body, String name) {
    return read(
        body,
        in -> {
          Long number = in.fieldOrNull(name, JsonReader::longOrZero);
          return number == null ? 0L : number;
        });
  }

  /** Bytes of the value as it is sent. */
  public int encodedSize(Entry value) {
    return StoredEntries.encode(value).length;
  }

  /** See {@link mallowstall.core.Effects#transact}. */
  public void transact(Txn transaction, Consumer<TxnReply> then) {
    call(
        HttpMethod.POST,
        "/multi",
        JsonWriter.object(out -> write(out, transaction)),
        reply -> {
          Code c = code(reply.status());
          if (reply.status() == 400) {
            String text = new String(reply.body(), java.nio.charset.StandardCharsets.UTF_8);
            if (text.contains("no such lease")) {
              c = Code.NO_LEASE;
            } else {
              LOG.error("the state service calls a transaction malformed: {}", text);
            }
          }
          Long revision =
              c == Code.OK || c == Code.CONFLICT ? number(reply.body(), REVISION) : null;
          if (revision == null && c == Code.OK) {
            c = Code.UNKNOWN;
          }
          then.accept(new TxnReply(c, revision == null ? 0 : revision));
        });
  }

  private static void write(JsonGenerator out, Txn transaction) throws IOException {
    JsonWriter.list(out, "when", transaction.when(), StateServiceClient::write);
    out.writeFieldName("then");
    out.writeStartArray();
    for (Put put : transaction.puts()) {
      write(out, put);
    }
    for (String key : transaction.drops()) {
      out.writeStartObject();
      out.writeStringField(DROP, key);
      out.writeEndObject();
    }
    out.writeEndArray();
  }

  private static void write(JsonGenerator out, Cond condition) throws IOException {
    out.writeStartObject();
    out.writeStringField(KEY, condition.key());
    out.writeNumberField(VERSION, condition.version());
    out.writeEndObject();
  }

  private static void write(JsonGenerator out, Put put) throws IOException {
    out.writeStartObject();
    out.writeStringField(SET, put.key());
    out.writeFieldName(VALUE);
    StoredEntries.write(out, put.value());
    if (put.lease() != 0) {
      out.writeNumberField(LEASE, put.lease());
    }
    out.writeEndObject();
  }

  /** See {@link mallowstall.core.Effects#get}. */
  public void get(String key, Consumer<GetReply> then) {
    call(
        HttpMethod.GET,
        "/keys/" + key,
        null,
        reply -> {
          if (reply.status() == 404) {
            then.accept(new GetReply(Code.OK, new Item(key, null, 0)));
            return;
          }
          Item item = reply.status() == 200 ? read(reply.body(), StateServiceClient::item) : null;
          if (item == null || item.value() == null) {
            then.accept(
                new GetReply(reply.status() == 200 ? Code.REFUSED : code(reply.status()), null));
          } else {
            then.accept(new GetReply(Code.OK, new Item(key, item.value(), item.version())));
          }
        });
  }

  /** See {@link mallowstall.core.Effects#list}. */
  public void list(String after, Consumer<ListReply> then) {
    call(
        HttpMethod.GET,
        "/keys?under="
            + PREFIX
            + (after == null ? "" : "&after=" + after)
            + "&page="
            + Constants.LIST_PAGE,
        null,
        reply -> {
          Items page = reply.status() == 200 ? read(reply.body(), StateServiceClient::items) : null;
          if (page == null) {
            then.accept(new ListReply(Code.REFUSED, List.of(), false, 0));
            return;
          }
          then.accept(new ListReply(Code.OK, page.items(), page.more(), page.revision()));
        });
  }

  private static Items items(JsonReader in) throws IOException {
    List<Item> items = null;
    boolean more = false;
    long revision = 0;
    in.enterObject();
    while (in.nextField()) {
      switch (in.field()) {
        case "entries", "events" -> items = in.list(StateServiceClient::item);
        case "has_next" -> more = in.booleanOrFalse();
        case REVISION -> revision = in.longOrZero();
        default -> in.skip();
      }
    }
    if (items == null) {
      return new Items(List.of(), more, revision);
    }
    items.removeIf(Objects::isNull);
    return new Items(items, more, revision);
  }

  /** A key with its value, or a change of it; null: its value is of no use here. */
  private static Item item(JsonReader in) throws IOException {
    String key = null;
    boolean dropped = false;
    Entry value = null;
    JsonReader.Deferred unread = null;
    long version = 0;
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    while (in.nextField()) {
      switch (in.field()) {
        case KEY, SET -> key = in.string();
        case DROP -> {
          key = in.string();
          dropped = true;
        }
        case VALUE -> {
          if (key == null) {
            unread = in.defer();
          } else {
            value = entry(key, in);
          }
        }
        case VERSION -> version = in.longOrZero();
        default -> in.skip();
      }
    }
    if (unread != null && key != null) {
      String name = key;
      value = unread.read(later -> entry(name, later));
    }
    return key != null && (dropped || value != null) ? new Item(key, value, version) : null;
  }

  /** The value of the key; null if there is none, or if it can't be read. */
  private static Entry entry(String key, JsonReader in) throws IOException {
    return in.readOrSkip(
        value -> StoredEntries.read(key, value),
        failure -> LOG.error("unreadable value of {}: {}", key, failure.getMessage()));
  }

  /** See {@link mallowstall.core.Effects#watch}. */
  public void watch(long after, long holdMs, Consumer<WatchReply> then) {
    watches.call(
        HttpMethod.GET,
        "/changes?under=" + PREFIX + "&after=" + after + "&hold_ms=" + holdMs,
        null,
        holdMs + Constants.STATE_TIMEOUT_MS,
        reply ->
            events.accept(
                () -> {
                  Items news =
                      reply.status() == 200 ? read(reply.body(), StateServiceClient::items) : null;
                  if (news != null) {
                    then.accept(new WatchReply(Code.OK, news.items(), news.revision()));
                  } else {
                    then.accept(
                        new WatchReply(
                            reply.status() == 410 ? Code.GONE : Code.REFUSED, List.of(), 0));
                  }
                }));
  }

  /** See {@link mallowstall.core.Effects#grantLease}. */
  public void grantLease(long ttlMs, Consumer<LeaseReply> then) {
    call(
        HttpMethod.POST,
        "/leases",
        JsonWriter.object(out -> out.writeNumberField("life_ms", ttlMs)),
        reply -> {
          Long lease = reply.status() == 200 ? number(reply.body(), LEASE) : null;
          then.accept(
              new LeaseReply(lease == null ? Code.REFUSED : Code.OK, lease == null ? 0 : lease));
        });
  }

  /** See {@link mallowstall.core.Effects#renewLease}. */
  public void renewLease(long lease, Consumer<LeaseReply> then) {
    call(
        HttpMethod.POST,
        "/leases/" + lease + "/renew",
        null,
        reply ->
            then.accept(
                new LeaseReply(
                    reply.status() == 404
                        ? Code.GONE
                        : reply.status() == 200 ? Code.OK : Code.REFUSED,
                    lease)));
  }
}

package mallowstall.state;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
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
import mallowstall.core.Model.BitsRec;
import mallowstall.core.Model.CounterRec;
import mallowstall.core.Model.DigestRec;
import mallowstall.core.Model.DutyRec;
import mallowstall.core.Model.Entry;
import mallowstall.core.Model.GroupRec;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.SessionRec;
import mallowstall.core.Model.TeamRec;
import mallowstall.core.Model.VersionRec;
import mallowstall.net.HttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The state service's HTTP interface. Values are the core's records as JSON. */
public final class StateAdapter {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.state");

  // ---- wire types ---------------------------------------------------------------------------
  /** A condition of a transaction as it is sent. */
  record CondWire(@JsonProperty("key") String key, @JsonProperty("sello") long version) {}

  /** A change of a transaction as it is sent. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record OpWire(
      @JsonProperty("set") String put,
      @JsonProperty("data") Entry value,
      @JsonProperty("permiso") Long lease,
      @JsonProperty("drop") String delete) {}

  /** A transaction as it is sent. */
  record TxnWire(
      @JsonProperty("when") List<CondWire> when, @JsonProperty("then") List<OpWire> then) {}

  /** The revision that a transaction has brought about. */
  record RevisionWire(@JsonProperty("tirada") long revision) {}

  /** A key with its value, or a change of it. */
  record ItemWire(
      @JsonProperty("key") String key,
      @JsonProperty("data") JsonNode value,
      @JsonProperty("sello") long version,
      @JsonProperty("set") String put,
      @JsonProperty("drop") String delete) {}

  /** A page of keys. */
  record ListWire(
      @JsonProperty("entries") List<ItemWire> items,
      @JsonProperty("has_next") boolean more,
      @JsonProperty("tirada") long revision) {}

  /** Changes since a revision. */
  record WatchWire(
      @JsonProperty("tirada") long revision, @JsonProperty("events") List<ItemWire> events) {}

  /** How long a new lease lasts. */
  record TtlWire(@JsonProperty("life_ms") long ttlMs) {}

  /** A new lease. */
  record LeaseWire(@JsonProperty("permiso") long lease) {}

  private static final String PREFIX = "c/";

  private final ObjectMapper json;
  private final HttpClient calls;
  private final HttpClient watches;
  private final Consumer<Runnable> events;

  /** {@code events} runs what it is given as one event of the core. */
  public StateAdapter(
      ObjectMapper json, HttpClient calls, HttpClient watches, Consumer<Runnable> events) {
    this.json = json;
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

  private void call(HttpMethod m, String path, Object body, Consumer<HttpClient.Reply> then) {
    byte[] b;
    try {
      b = body == null ? null : json.writeValueAsBytes(body);
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    }
    calls.call(
        m, path, b, Constants.STATE_TIMEOUT_MS, reply -> events.accept(() -> then.accept(reply)));
  }

  private <T> T read(byte[] b, Class<T> type) {
    try {
      return json.readValue(b, type);
    } catch (IOException failure) {
      LOG.error("unreadable answer of the state service: {}", failure.getMessage());
      return null;
    }
  }

  private Entry entry(String key, JsonNode v) {
    if (v == null || v.isNull()) {
      return null;
    }
    Class<? extends Entry> type =
        switch (key.length() < 4 ? "" : key.substring(0, 4)) {
          case "c/j/" -> JobRec.class;
          case "c/m/" -> MachineRec.class;
          case "c/g/" -> GroupRec.class;
          case "c/n/" -> SessionRec.class;
          case "c/v/" -> VersionRec.class;
          case "c/t/" -> TeamRec.class;
          case "c/d/" -> DigestRec.class;
          case "c/b/" -> BitsRec.class;
          default ->
              key.equals("c/cloud")
                  ? DutyRec.class
                  : key.equals("c/incarnations") ? CounterRec.class : null;
        };
    if (type == null) {
      return null;
    }
    try {
      return json.treeToValue(v, type);
    } catch (IOException failure) {
      LOG.error("unreadable value of {}: {}", key, failure.getMessage());
      return null;
    }
  }

  /** Bytes of the value as it is sent. */
  public int encodedSize(Entry value) {
    try {
      return json.writeValueAsBytes(value).length;
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    }
  }

  /** See {@link mallowstall.core.Effects#transact}. */
  public void transact(Txn transaction, Consumer<TxnReply> then) {
    List<CondWire> when = new ArrayList<>();
    for (Cond condition : transaction.when()) {
      when.add(new CondWire(condition.key(), condition.version()));
    }
    List<OpWire> ops = new ArrayList<>();
    for (Put put : transaction.puts()) {
      ops.add(new OpWire(put.key(), put.value(), put.lease() == 0 ? null : put.lease(), null));
    }
    for (String k : transaction.drops()) {
      ops.add(new OpWire(null, null, null, k));
    }
    call(
        HttpMethod.POST,
        "/multi",
        new TxnWire(when, ops),
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
          RevisionWire w =
              c == Code.OK || c == Code.CONFLICT ? read(reply.body(), RevisionWire.class) : null;
          if (w == null && c == Code.OK) {
            c = Code.UNKNOWN;
          }
          then.accept(new TxnReply(c, w == null ? 0 : w.revision()));
        });
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
          ItemWire w = reply.status() == 200 ? read(reply.body(), ItemWire.class) : null;
          Entry e = w == null ? null : entry(key, w.value());
          if (e == null) {
            then.accept(
                new GetReply(reply.status() == 200 ? Code.REFUSED : code(reply.status()), null));
          } else {
            then.accept(new GetReply(Code.OK, new Item(key, e, w.version())));
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
          ListWire w = reply.status() == 200 ? read(reply.body(), ListWire.class) : null;
          if (w == null) {
            then.accept(new ListReply(Code.REFUSED, List.of(), false, 0));
            return;
          }
          then.accept(new ListReply(Code.OK, items(w.items()), w.more(), w.revision()));
        });
  }

  private List<Item> items(List<ItemWire> in) {
    List<Item> out = new ArrayList<>();
    if (in == null) {
      return out;
    }
    for (ItemWire i : in) {
      if (i.delete() != null) {
        out.add(new Item(i.delete(), null, i.version()));
        continue;
      }
      String key = i.put() != null ? i.put() : i.key();
      Entry e = entry(key, i.value());
      if (e != null) {
        out.add(new Item(key, e, i.version()));
      }
    }
    return out;
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
                  WatchWire w = reply.status() == 200 ? read(reply.body(), WatchWire.class) : null;
                  if (w != null) {
                    then.accept(new WatchReply(Code.OK, items(w.events()), w.revision()));
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
        new TtlWire(ttlMs),
        reply -> {
          LeaseWire w = reply.status() == 200 ? read(reply.body(), LeaseWire.class) : null;
          then.accept(
              new LeaseReply(w == null ? Code.REFUSED : Code.OK, w == null ? 0 : w.lease()));
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

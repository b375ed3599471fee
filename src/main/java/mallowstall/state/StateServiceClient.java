package mallowstall.state;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.GetReply;
import mallowstall.core.Effects.Item;
import mallowstall.core.Effects.LeaseReply;
import mallowstall.core.Effects.ListReply;
import mallowstall.core.Effects.Txn;
import mallowstall.core.Effects.TxnReply;
import mallowstall.core.Effects.WatchReply;
import mallowstall.core.Model.Entry;
import mallowstall.json.JsonReader;
import mallowstall.json.JsonWriter;
import mallowstall.net.HttpClient;
import mallowstall.net.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the state service's HTTP interface (protocol, State service). Runs on the event loop;
 * each response comes back as one event of the core.
 */
public final class StateServiceClient {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.state");

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
      case HttpStatus.OK -> Code.OK;
      case HttpStatus.CONFLICT -> Code.CONFLICT;
      case HttpStatus.NOT_FOUND, HttpStatus.GONE -> Code.GONE;
      case HttpStatus.BAD_REQUEST -> Code.MALFORMED;
      case HttpClient.Reply.NO_RESPONSE -> Code.UNKNOWN;
      default -> Code.REFUSED;
    };
  }

  private void call(HttpMethod method, String path, byte[] body, Consumer<HttpClient.Reply> then) {
    calls.call(
        method,
        path,
        body,
        Constants.STATE_TIMEOUT_MS,
        reply -> events.accept(() -> then.accept(reply)));
  }

  /** The body of a successful response; null for any other or unreadable one. */
  private static <T> T content(HttpClient.Reply reply, JsonReader.ValueReader<T> content) {
    return reply.status() == HttpStatus.OK ? read(reply.body(), content) : null;
  }

  private static <T> T read(byte[] body, JsonReader.ValueReader<T> content) {
    return JsonReader.readOrNull(body, content, StateServiceClient::unreadable);
  }

  private static void unreadable(IOException failure) {
    LOG.error("unreadable response of the state service reason={}", failure.getMessage());
  }

  /** Bytes of the value as it is sent. */
  public int encodedSize(Entry value) {
    return StoredEntries.encode(value).length;
  }

  /** See {@link mallowstall.core.Effects#transact}. */
  public void transact(Txn transaction, Consumer<TxnReply> then) {
    call(
        HttpMethod.POST,
        StateProtocol.TRANSACTION_PATH,
        JsonWriter.object(out -> StateCodec.write(out, transaction)),
        reply -> {
          Code code = code(reply.status());
          if (reply.status() == HttpStatus.BAD_REQUEST) {
            String text = new String(reply.body(), StandardCharsets.UTF_8);
            if (text.contains(StateProtocol.NO_SUCH_LEASE)) {
              code = Code.NO_LEASE;
            } else {
              LOG.error("transaction malformed for the state service reason={}", text);
            }
          }
          Long revision =
              code == Code.OK || code == Code.CONFLICT
                  ? read(reply.body(), StateCodec::readRevision)
                  : null;
          if (revision == null && code == Code.OK) {
            code = Code.UNKNOWN;
          }
          then.accept(new TxnReply(code, revision == null ? 0 : revision));
        });
  }

  /** See {@link mallowstall.core.Effects#get}. */
  public void get(String key, Consumer<GetReply> then) {
    call(
        HttpMethod.GET,
        StateProtocol.keyPath(key),
        null,
        reply -> {
          if (reply.status() == HttpStatus.NOT_FOUND) {
            then.accept(new GetReply(Code.OK, new Item(key, null, 0)));
            return;
          }
          Item item = content(reply, StateCodec::readItem);
          if (item == null || item.value() == null) {
            then.accept(
                new GetReply(
                    reply.status() == HttpStatus.OK ? Code.REFUSED : code(reply.status()), null));
          } else {
            then.accept(new GetReply(Code.OK, new Item(key, item.value(), item.version())));
          }
        });
  }

  /** See {@link mallowstall.core.Effects#list}. */
  public void list(String after, Consumer<ListReply> then) {
    call(
        HttpMethod.GET,
        StateProtocol.listPath(after, Constants.LIST_PAGE),
        null,
        reply -> {
          StateCodec.Page page = content(reply, StateCodec::readPage);
          if (page == null) {
            then.accept(new ListReply(Code.REFUSED, List.of(), false, 0));
            return;
          }
          then.accept(new ListReply(Code.OK, page.items(), page.more(), page.revision()));
        });
  }

  /** See {@link mallowstall.core.Effects#watch}. */
  public void watch(long after, long holdMs, Consumer<WatchReply> then) {
    watches.call(
        HttpMethod.GET,
        StateProtocol.changesPath(after, holdMs),
        null,
        holdMs + Constants.STATE_TIMEOUT_MS,
        reply ->
            events.accept(
                () -> {
                  StateCodec.Page page = content(reply, StateCodec::readPage);
                  if (page != null) {
                    then.accept(new WatchReply(Code.OK, page.items(), page.revision()));
                  } else {
                    then.accept(
                        new WatchReply(
                            reply.status() == HttpStatus.GONE ? Code.GONE : Code.REFUSED,
                            List.of(),
                            0));
                  }
                }));
  }

  /** See {@link mallowstall.core.Effects#grantLease}. */
  public void grantLease(long ttlMs, Consumer<LeaseReply> then) {
    call(
        HttpMethod.POST,
        StateProtocol.LEASES_PATH,
        JsonWriter.object(out -> out.writeNumberField(StateProtocol.LEASE_DURATION_MS, ttlMs)),
        reply -> {
          Long lease = content(reply, StateCodec::readLease);
          then.accept(
              new LeaseReply(lease == null ? Code.REFUSED : Code.OK, lease == null ? 0 : lease));
        });
  }

  /** See {@link mallowstall.core.Effects#renewLease}. */
  public void renewLease(long lease, Consumer<LeaseReply> then) {
    call(
        HttpMethod.POST,
        StateProtocol.renewPath(lease),
        null,
        reply ->
            then.accept(
                new LeaseReply(
                    reply.status() == HttpStatus.NOT_FOUND
                        ? Code.GONE
                        : reply.status() == HttpStatus.OK ? Code.OK : Code.REFUSED,
                    lease)));
  }
}

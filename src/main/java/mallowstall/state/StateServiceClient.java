package mallowstall.state;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.GetResult;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.LeaseResult;
import mallowstall.core.kernel.ListResult;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kernel.WatchResult;
import mallowstall.core.model.StoredEntry;
import mallowstall.json.JsonReader;
import mallowstall.json.JsonWriter;
import mallowstall.net.HttpClient;
import mallowstall.net.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the state service's HTTP interface (protocol, State service). Runs on the event loop.
 * Each callback runs as one event of the core.
 */
public final class StateServiceClient {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.state");

  /** Number of entries requested per page of a listing. The protocol allows at most 1,000. */
  private static final int LIST_PAGE_SIZE = 500;

  /**
   * Maximum size in bytes of a watch's response that is read at once. A longer response is handed
   * on in parts.
   */
  private static final int SHORT_WATCH_BYTES = 256 << 10;

  /** Maximum size in bytes of a listing's page that is read at once (protocol: 512 KiB). */
  private static final int SHORT_LIST_BYTES = 1 << 20;

  private final HttpClient requestClient;
  private final HttpClient watchClient;
  private final Consumer<Runnable> events;

  /**
   * Creates a client that sends watches through {@code watchClient} and all other requests through
   * {@code requestClient}. {@code events} runs each task that it receives as one event of the core.
   */
  public StateServiceClient(
      HttpClient requestClient, HttpClient watchClient, Consumer<Runnable> events) {
    this.requestClient = requestClient;
    this.watchClient = watchClient;
    this.events = events;
  }

  private static ResultCode resultCode(int status) {
    return switch (status) {
      case HttpStatus.OK -> ResultCode.OK;
      case HttpStatus.CONFLICT -> ResultCode.CONFLICT;
      case HttpStatus.NOT_FOUND, HttpStatus.GONE -> ResultCode.EXPIRED;
      case HttpStatus.BAD_REQUEST -> ResultCode.INVALID;
      case HttpClient.Reply.NO_RESPONSE -> ResultCode.OUTCOME_UNKNOWN;
      default -> ResultCode.REJECTED;
    };
  }

  private void call(
      HttpMethod method, String path, byte[] body, Consumer<HttpClient.Reply> callback) {
    requestClient.call(
        method,
        path,
        body,
        Constants.STATE_TIMEOUT_MS,
        reply -> events.accept(() -> callback.accept(reply)));
  }

  /**
   * Returns the body of a successful response, or null if the call failed or the body is
   * unreadable.
   */
  private static <T> T content(HttpClient.Reply reply, JsonReader.ValueReader<T> content) {
    return reply.status() == HttpStatus.OK ? read(reply.body(), content) : null;
  }

  private static <T> T read(byte[] body, JsonReader.ValueReader<T> content) {
    return JsonReader.readOrNull(body, content, StateServiceClient::unreadable);
  }

  private static void unreadable(IOException failure) {
    LOG.error("unreadable response of the state service reason={}", failure.getMessage());
  }

  /** Returns the size in bytes of the value as it is sent. */
  public int encodedSizeBytes(StoredEntry value) {
    return StoredEntries.encode(value).length;
  }

  /** See {@link Effects#transact}. */
  public void transact(Transaction transaction, Consumer<TransactionResult> callback) {
    call(
        HttpMethod.POST,
        StateProtocol.TRANSACTION_PATH,
        JsonWriter.object(out -> StateCodec.write(out, transaction)),
        reply -> {
          ResultCode code = resultCode(reply.status());
          if (reply.status() == HttpStatus.BAD_REQUEST) {
            String text = new String(reply.body(), StandardCharsets.UTF_8);
            if (text.contains(StateProtocol.NO_SUCH_LEASE)) {
              code = ResultCode.LEASE_NOT_FOUND;
            } else {
              LOG.error("transaction malformed for the state service reason={}", text);
            }
          }
          Long revision =
              code == ResultCode.OK || code == ResultCode.CONFLICT
                  ? read(reply.body(), StateCodec::readRevision)
                  : null;
          if (revision == null && code == ResultCode.OK) {
            code = ResultCode.OUTCOME_UNKNOWN;
          }
          callback.accept(new TransactionResult(code, revision == null ? 0 : revision));
        });
  }

  /** See {@link Effects#get}. */
  public void get(String key, Consumer<GetResult> callback) {
    call(
        HttpMethod.GET,
        StateProtocol.keyPath(key),
        null,
        reply -> {
          if (reply.status() == HttpStatus.NOT_FOUND) {
            callback.accept(new GetResult(ResultCode.OK, new KeyValue(key, null, 0)));
            return;
          }
          // The status is checked before a reader is created, because creating one takes processor
          // time, which a starting process lacks.
          if (reply.status() != HttpStatus.OK) {
            callback.accept(new GetResult(resultCode(reply.status()), null));
            return;
          }
          StateCodec.Item read = read(reply.body(), StateCodec::readItem);
          KeyValue item = read == null ? null : read.change();
          if (item == null || item.value() == null) {
            callback.accept(new GetResult(ResultCode.REJECTED, null));
          } else {
            callback.accept(
                new GetResult(ResultCode.OK, new KeyValue(key, item.value(), item.modRevision())));
          }
        });
  }

  /** See {@link Effects#list}. */
  public void list(String afterKey, Consumer<ListResult> callback) {
    List<KeyValue> items = new ArrayList<>();
    PageStream stream = new PageStream(SHORT_LIST_BYTES, items::addAll);
    requestClient.getStreaming(
        StateProtocol.listPath(afterKey, LIST_PAGE_SIZE),
        Constants.STATE_TIMEOUT_MS,
        Constants.STATE_TIMEOUT_MS,
        stream::receive,
        reply -> events.accept(() -> callback.accept(listResult(reply, stream, items))));
  }

  private static ListResult listResult(
      HttpClient.Reply reply, PageStream stream, List<KeyValue> items) {
    StateCodec.Page page = reply.status() == HttpStatus.OK ? finish(stream) : null;
    if (page == null) {
      return new ListResult(ResultCode.REJECTED, List.of(), false, 0);
    }
    items.addAll(page.items());
    return new ListResult(ResultCode.OK, items, page.hasMore(), page.revision(), page.lastKey());
  }

  /** See {@link Effects#watch}. */
  public void watch(long afterRevision, long waitMs, Consumer<WatchResult> callback) {
    PageStream stream =
        new PageStream(
            SHORT_WATCH_BYTES,
            part ->
                events.accept(() -> callback.accept(new WatchResult(ResultCode.PARTIAL, part, 0))));
    watchClient.getStreaming(
        StateProtocol.changesPath(afterRevision, waitMs),
        waitMs + Constants.STATE_TIMEOUT_MS,
        Constants.STATE_TIMEOUT_MS,
        stream::receive,
        reply -> events.accept(() -> callback.accept(watchResult(reply, stream))));
  }

  private static WatchResult watchResult(HttpClient.Reply reply, PageStream stream) {
    StateCodec.Page page = reply.status() == HttpStatus.OK ? finish(stream) : null;
    if (page != null) {
      return new WatchResult(ResultCode.OK, page.items(), page.revision());
    }
    ResultCode code =
        switch (reply.status()) {
          case HttpStatus.GONE -> ResultCode.EXPIRED;
          // an unreadable response, which would come again
          case HttpStatus.OK, HttpStatus.BAD_REQUEST -> ResultCode.INVALID;
          case HttpClient.Reply.NO_RESPONSE -> ResultCode.OUTCOME_UNKNOWN;
          default -> ResultCode.REJECTED;
        };
    return new WatchResult(code, List.of(), 0);
  }

  /** Returns the rest of a complete response, or null if the response is unreadable. */
  private static StateCodec.Page finish(PageStream stream) {
    try {
      return stream.finish();
    } catch (IOException failure) {
      unreadable(failure);
      return null;
    }
  }

  /** See {@link Effects#grantLease}. */
  public void grantLease(long ttlMs, Consumer<LeaseResult> callback) {
    call(
        HttpMethod.POST,
        StateProtocol.LEASES_PATH,
        JsonWriter.object(out -> out.writeNumberField(StateProtocol.LEASE_DURATION_MS, ttlMs)),
        reply -> {
          Long lease = content(reply, StateCodec::readLease);
          callback.accept(
              new LeaseResult(
                  lease == null ? ResultCode.REJECTED : ResultCode.OK, lease == null ? 0 : lease));
        });
  }

  /** See {@link Effects#renewLease}. */
  public void renewLease(long leaseId, Consumer<LeaseResult> callback) {
    call(
        HttpMethod.POST,
        StateProtocol.renewPath(leaseId),
        null,
        reply ->
            callback.accept(
                new LeaseResult(
                    reply.status() == HttpStatus.NOT_FOUND
                        ? ResultCode.EXPIRED
                        : reply.status() == HttpStatus.OK ? ResultCode.OK : ResultCode.REJECTED,
                    leaseId)));
  }
}

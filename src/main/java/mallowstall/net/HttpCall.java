package mallowstall.net;

import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.TimeUnit;

/** A request of an {@link HttpClient} with its deadline and its callbacks. Mutable. */
final class HttpCall {
  private final HttpMethod method;
  private final String path;
  private final byte[] body;
  private final HttpClient.Callback callback;

  /** Receives the body, or null if the body is kept until it is complete. */
  private final HttpClient.BodyReceiver receiver;

  /** Time in nanoseconds after the latest piece of the body at which the call ends. */
  private final long silenceNanos;

  /** The time of {@link System#nanoTime} at which the call ends without a response. */
  private long deadlineNanos;

  private boolean finished;

  private HttpCall(
      HttpMethod method,
      String path,
      byte[] body,
      long timeoutMs,
      long silenceMs,
      HttpClient.BodyReceiver receiver,
      HttpClient.Callback callback) {
    this.method = method;
    this.path = path;
    this.body = body;
    this.deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    this.silenceNanos = TimeUnit.MILLISECONDS.toNanos(silenceMs);
    this.receiver = receiver;
    this.callback = callback;
  }

  /** Returns a call whose callback receives the body of the response. */
  static HttpCall keepingBody(
      HttpMethod method, String path, byte[] body, long timeoutMs, HttpClient.Callback callback) {
    return new HttpCall(method, path, body, timeoutMs, 0, null, callback);
  }

  /** Returns a GET call whose body goes to the receiver while it arrives. */
  static HttpCall streaming(
      String path,
      long timeoutMs,
      long silenceMs,
      HttpClient.BodyReceiver receiver,
      HttpClient.Callback callback) {
    return new HttpCall(HttpMethod.GET, path, null, timeoutMs, silenceMs, receiver, callback);
  }

  HttpMethod method() {
    return method;
  }

  String path() {
    return path;
  }

  /** Returns the body of the request, or null if it has none. */
  byte[] body() {
    return body;
  }

  /** Returns whether the body of the response is kept until it is complete. */
  boolean keepsBody() {
    return receiver == null;
  }

  /** Hands on a piece of the response's body, which extends the deadline. */
  void receive(byte[] piece) {
    deadlineNanos = Math.max(deadlineNanos, System.nanoTime() + silenceNanos);
    receiver.receive(piece);
  }

  /** Returns the time until the deadline in milliseconds, at least 1. */
  long remainingMs() {
    return Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
  }

  /** Returns whether the deadline has passed. */
  boolean isOverdue() {
    return System.nanoTime() - deadlineNanos >= 0;
  }

  /** Calls the callback, unless it has been called before. */
  void finish(HttpClient.Reply reply) {
    if (finished) {
      return;
    }
    finished = true;
    callback.done(reply);
  }
}

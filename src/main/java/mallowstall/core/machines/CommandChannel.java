package mallowstall.core.machines;

import java.util.HashSet;
import java.util.Set;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskKey;

/**
 * The direct commands sent to one worker and what is known of their outcome. Mutable.
 *
 * <p>The worker may execute a start at any time until it answers the request or acknowledges a
 * larger fencing token. Until then the task counts as possibly running, and no remove command is
 * sent for its attempt, since a late copy of the start would start the attempt again.
 *
 * <p>The network may also repeat a request that the worker has answered. The worker ignores a start
 * whose attempt it lists, but runs the attempt again once it was removed, unless it has seen a
 * larger token than that of the request.
 */
final class CommandChannel {
  private final Set<TaskKey> unacknowledgedStarts = new HashSet<>();

  /** Attempts whose starts were sent in requests under the token of the latest request. */
  private final Set<TaskAttempt> startsUnderCurrentToken = new HashSet<>();

  private boolean requestInFlight;
  private boolean outcomeUnknown;
  private boolean tokenWriteInFlight;

  /** Whether the fencing token was raised after the outcome of a request became unknown. */
  private boolean tokenRaised;

  private long lastSentMs;

  /** Returns whether another request may be sent. */
  boolean ready() {
    return !requestInFlight && !outcomeUnknown && !tokenWriteInFlight;
  }

  /** Records that a request is sent at {@code now}. */
  void beginRequest(long now) {
    requestInFlight = true;
    lastSentMs = now;
  }

  /** Records that the request was answered or abandoned. */
  void endRequest() {
    requestInFlight = false;
  }

  /** Returns when the last request was sent, in milliseconds of the steady clock, or 0 if none. */
  long lastSentMs() {
    return lastSentMs;
  }

  /** Records that the request being sent contains a start of the attempt. */
  void addStart(TaskAttempt attempt) {
    unacknowledgedStarts.add(attempt.key());
    startsUnderCurrentToken.add(attempt);
  }

  /**
   * Returns whether a repeated request could start the attempt again if it were removed under the
   * current token, whether or not the request was answered.
   */
  boolean isRepeatable(TaskAttempt attempt) {
    return startsUnderCurrentToken.contains(attempt);
  }

  /** Returns whether a repeated request could start an attempt that the worker doesn't list. */
  boolean hasRepeatableStarts() {
    return !startsUnderCurrentToken.isEmpty();
  }

  /** Records that all later commands carry a larger token than all requests so far. */
  void startNewToken() {
    startsUnderCurrentToken.clear();
  }

  /** Records that the worker rejects all requests so far, because its session has ended. */
  void endSession() {
    settle();
    startsUnderCurrentToken.clear();
  }

  /** Returns whether a start of the task may still be executed. */
  boolean isUnacknowledged(TaskKey key) {
    return unacknowledgedStarts.contains(key);
  }

  /** Returns whether any start may still be executed. */
  boolean hasUnacknowledgedStarts() {
    return !unacknowledgedStarts.isEmpty();
  }

  /** Records an unknown outcome. No request is sent until a larger token is acknowledged. */
  void markOutcomeUnknown() {
    outcomeUnknown = true;
  }

  /** Records that the outcome of all requests is known. */
  void settle() {
    unacknowledgedStarts.clear();
    outcomeUnknown = false;
    tokenRaised = false;
  }

  /** Returns whether an outcome is unknown and the fencing token has not been raised since. */
  boolean needsTokenRaise() {
    return outcomeUnknown && !tokenRaised;
  }

  /** Returns whether an acknowledgement of the current fencing token settles all requests. */
  boolean settledByAcknowledgement() {
    return outcomeUnknown && !tokenWriteInFlight && tokenRaised;
  }

  /** Returns whether the write of a larger fencing token is unanswered. */
  boolean tokenWriteInFlight() {
    return tokenWriteInFlight;
  }

  /** Begins a token write. Returns false if one is in flight or the token is already raised. */
  boolean beginTokenWrite() {
    if (tokenWriteInFlight || tokenRaised) {
      return false;
    }
    tokenWriteInFlight = true;
    return true;
  }

  /** Records that the write of a larger fencing token was answered or refused. */
  void endTokenWrite() {
    tokenWriteInFlight = false;
  }

  /** Records that the larger fencing token is stored. */
  void markTokenRaised() {
    tokenRaised = true;
  }
}

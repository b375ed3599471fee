package mallowstall.core.machines;

import java.util.HashSet;
import java.util.Set;
import mallowstall.core.model.TaskKey;

/**
 * Commands sent to one worker's own address and what is known of their outcome. Mutable.
 *
 * <p>Until a command is answered, or the worker acknowledges a larger fencing token, its starts may
 * be executed at any time: they count as possibly running and their attempts are not forgotten,
 * since a late copy would start them again.
 */
final class CommandChannel {
  private final Set<TaskKey> unacknowledgedStarts = new HashSet<>();
  private boolean requestInFlight;
  private boolean outcomeUnknown;
  private boolean tokenWriteInFlight;

  /** Whether the fencing token was raised after the last command whose outcome is unknown. */
  private boolean tokenRaised;

  private long lastSentMs;

  /** Whether a further request may be sent. */
  boolean ready() {
    return !requestInFlight && !outcomeUnknown && !tokenWriteInFlight;
  }

  /** A request leaves now. */
  void beginRequest(long now) {
    requestInFlight = true;
    lastSentMs = now;
  }

  /** The request was answered or given up. */
  void endRequest() {
    requestInFlight = false;
  }

  /** When the last request left, in ms of the steady clock; 0 before the first. */
  long lastSentMs() {
    return lastSentMs;
  }

  /** A start is part of the request that leaves. */
  void addUnacknowledgedStart(TaskKey key) {
    unacknowledgedStarts.add(key);
  }

  /** Whether a start of the task may still be executed. */
  boolean isUnacknowledged(TaskKey key) {
    return unacknowledgedStarts.contains(key);
  }

  /** Whether any start may still be executed. */
  boolean hasUnacknowledgedStarts() {
    return !unacknowledgedStarts.isEmpty();
  }

  /** The outcome of a request is unknown: nothing is sent before a larger token is acknowledged. */
  void markOutcomeUnknown() {
    outcomeUnknown = true;
  }

  /** The outcome of all requests is known. */
  void settle() {
    unacknowledgedStarts.clear();
    outcomeUnknown = false;
    tokenRaised = false;
  }

  /** Whether the outcome of a request is unknown and the fencing token not yet raised for it. */
  boolean needsTokenRaise() {
    return outcomeUnknown && !tokenRaised;
  }

  /** Whether the worker's acknowledgement of the current fencing token settles all requests. */
  boolean settledByAcknowledgement() {
    return outcomeUnknown && !tokenWriteInFlight && tokenRaised;
  }

  /** Whether the write of a larger fencing token is unanswered. */
  boolean tokenWriteInFlight() {
    return tokenWriteInFlight;
  }

  /** Begins the write of a larger fencing token; false: it is under way or done already. */
  boolean beginTokenWrite() {
    if (tokenWriteInFlight || tokenRaised) {
      return false;
    }
    tokenWriteInFlight = true;
    return true;
  }

  /** The write of a larger fencing token was answered or refused. */
  void endTokenWrite() {
    tokenWriteInFlight = false;
  }

  /** The larger fencing token is stored. */
  void markTokenRaised() {
    tokenRaised = true;
  }
}

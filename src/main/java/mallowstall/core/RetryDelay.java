package mallowstall.core;

import mallowstall.Constants;
import mallowstall.core.Effects.Code;

/**
 * The wait before a change that the state service refused is tried again: doubled with each refusal
 * in a row. A change that is too large stays so until something else changes, so it is tried ever
 * more seldom; one that came too soon, or during an outage, is tried again within seconds.
 */
final class RetryDelay {
  private long delayMs;
  private long until = Long.MIN_VALUE / 2;

  /** Whether the change may be tried now. */
  boolean due(long now) {
    return now >= until;
  }

  /** Takes in the state service's answer; only refusals make the next try wait. */
  void answered(long now, Code code) {
    if (code == Code.OK) {
      delayMs = 0;
    }
    if (code != Code.REFUSED && code != Code.MALFORMED) {
      return;
    }
    long longest =
        code == Code.MALFORMED
            ? Constants.STATE_MALFORMED_RETRY_MAX_MS
            : Constants.STATE_REFUSED_RETRY_MAX_MS;
    delayMs = Math.min(longest, Math.max(Constants.STATE_RETRY_MS, delayMs * 2));
    until = now + delayMs;
  }

  /** When the change may be tried again. */
  long until() {
    return until;
  }
}

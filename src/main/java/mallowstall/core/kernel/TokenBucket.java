package mallowstall.core.kernel;

/**
 * A token bucket that limits this controller to its share of a rate that all controllers have
 * together. All times are steady times in milliseconds. Mutable.
 */
public final class TokenBucket {
  private double tokensPerMs;
  private double burst;
  private double tokens;
  private long lastRefillMs;

  /** Creates a full bucket that holds at most {@code burst} tokens, or 1 if burst is less. */
  public TokenBucket(double perSecond, double burst) {
    this.tokensPerMs = perSecond / 1000.0;
    this.burst = Math.max(1.0, burst);
    this.tokens = this.burst;
  }

  /**
   * Sets the rate from now on. The capacity of the bucket becomes the tokens of one second, or 1 if
   * that is less.
   */
  public void setRate(long now, double perSecond) {
    refill(now);
    tokensPerMs = perSecond / 1000.0;
    burst = Math.max(1.0, perSecond);
    tokens = Math.min(tokens, burst);
  }

  private void refill(long now) {
    if (now > lastRefillMs) {
      tokens = Math.min(burst, tokens + (now - lastRefillMs) * tokensPerMs);
      lastRefillMs = now;
    }
  }

  /**
   * Returns whether {@code cost} tokens may be spent while {@code reserve} tokens stay in the
   * bucket for other requests. With a negative reserve, the bucket may be overdrawn by that amount.
   * A cost above the capacity of the bucket may be spent when the bucket is full.
   */
  public boolean canSpend(long now, double cost, double reserve) {
    refill(now);
    return tokens >= Math.min(burst, cost + reserve);
  }

  /** Removes tokens from the bucket. If it holds fewer, the bucket is overdrawn. */
  public void spend(long now, double cost) {
    refill(now);
    tokens -= cost;
  }
}

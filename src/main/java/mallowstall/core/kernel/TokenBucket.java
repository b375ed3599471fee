package mallowstall.core.kernel;

/**
 * A token bucket: this controller's share of a rate that all controllers have together. Times are
 * steady, in ms. Mutable.
 */
public final class TokenBucket {
  private double tokensPerMs;
  private double burst;
  private double tokens;
  private long lastRefillMs;

  /** A full bucket; {@code burst} is the most that it holds, at least 1. */
  public TokenBucket(double perSecond, double burst) {
    this.tokensPerMs = perSecond / 1000.0;
    this.burst = Math.max(1.0, burst);
    this.tokens = this.burst;
  }

  /** Sets the share from now on; the bucket holds one second's worth of it, at least 1. */
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
   * Whether {@code cost} may be spent while {@code reserve} stays for others; a negative reserve
   * lets the bucket be overdrawn so far. What costs more than the bucket holds may go when it is
   * full.
   */
  public boolean canSpend(long now, double cost, double reserve) {
    refill(now);
    return tokens >= Math.min(burst, cost + reserve);
  }

  /** Takes tokens, also more than there are: the bucket is then overdrawn. */
  public void spend(long now, double cost) {
    refill(now);
    tokens -= cost;
  }
}

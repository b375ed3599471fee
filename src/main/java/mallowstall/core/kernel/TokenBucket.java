package mallowstall.core.kernel;

/** A token bucket: one share of a limit that all controllers spend together. */
public final class TokenBucket {
  private double tokensPerMs;
  private double burst;
  private double tokens;
  private long lastRefillMs;

  /** Creates one without any history. */
  public TokenBucket(double perSecond, double burst) {
    this.tokensPerMs = perSecond / 1000.0;
    this.burst = Math.max(1.0, burst);
    this.tokens = this.burst;
  }

  /** A new share; one second's worth may come at once. */
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

  /** Whether {@code n} may be spent while {@code reserve} stays for more urgent work. */
  public boolean canSpend(long now, double cost, double reserve) {
    refill(now);
    return tokens >= Math.min(burst, cost + reserve);
  }

  /** Takes tokens, also beyond what is there, at this time in ms. */
  public void spend(long now, double cost) {
    refill(now);
    tokens -= cost;
  }
}

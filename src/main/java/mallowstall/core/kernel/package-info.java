/**
 * What every module of the core builds on: {@link mallowstall.core.kernel.Effects} (all that the
 * core asks of the outside, with the result types), the clock of the current event with its timers,
 * token buckets, retry delays, and the request for a scheduling pass.
 *
 * <p>Each object belongs to the module that created it; only {@code EventClock}, {@code
 * EventLoopLag} and {@code PlacementTrigger} are shared, and the core alone advances the first two.
 * Used on the event loop, one event at a time; no I/O, no system clock and no threads. May depend
 * on model only. docs/design.md, "While processor time is short", says what may and may not follow
 * the lag.
 */
package mallowstall.core.kernel;

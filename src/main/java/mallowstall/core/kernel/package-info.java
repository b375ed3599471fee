/**
 * The classes on which every module of the core depends: {@link mallowstall.core.kernel.Effects},
 * through which the core calls other systems, with its result types; the clock of the current event
 * with its timers; token buckets; retry delays; and the trigger of scheduling passes.
 *
 * <p>Each object belongs to the module that created it. Only {@code EventClock}, {@code
 * EventLoopLag} and {@code PlacementTrigger} are shared, and only the core advances the first two.
 * The package is used on the event loop, one event at a time. It does no I/O and uses no system
 * clock and no threads. It may depend only on the model package. The section "While processor time
 * is short" of docs/design.md describes which work may run less often as the lag grows and which
 * may not.
 */
package mallowstall.core.kernel;

package mallowstall.core;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The event loop of one controller. It processes one event at a time, in the order of arrival. The
 * actions that an event defers run when its processing ends; if the process ends earlier, they are
 * discarded.
 */
final class SimulatedEventLoop {
  private final Simulation simulation;
  private final SimulatedController node;

  /** Events that have arrived and whose processing has not started, in the order of arrival. */
  private final Queue<WaitingEvent> waitingEvents = new ArrayDeque<>();

  /** Actions that run when the present event ends, in the order in which they were added. */
  private final Queue<Runnable> deferredActions = new ArrayDeque<>();

  private boolean eventUnderWay;

  /** The time at which the processing of the present event ends. */
  private long eventEndsMs;

  /** The time at which the latest pause ends. */
  private long pausedUntilMs;

  /** Number of the present process. Work that was scheduled for an earlier one is skipped. */
  private int processNumber;

  /** Maximum wait of an event that costs processor time, in milliseconds. */
  private long maxWaitMs;

  /** An event, its time of arrival and the processor time that it takes. */
  private record WaitingEvent(Runnable action, long arrivedMs, long costMs) {}

  SimulatedEventLoop(Simulation simulation, SimulatedController node) {
    this.simulation = simulation;
    this.node = node;
  }

  /** Discards all events and deferred actions because the process has ended. */
  void restart() {
    processNumber++;
    waitingEvents.clear();
    deferredActions.clear();
    eventUnderWay = false;
    pausedUntilMs = 0;
  }

  /** Enqueues an event, which is processed after all events that arrived before it. */
  void enqueue(Runnable action, long costMs) {
    waitingEvents.add(new WaitingEvent(action, simulation.nowMs, costMs));
    processWaitingEvents();
  }

  private void processWaitingEvents() {
    while (!eventUnderWay && !waitingEvents.isEmpty()) {
      process(waitingEvents.remove());
    }
  }

  private void process(WaitingEvent event) {
    eventUnderWay = true;
    eventEndsMs = simulation.nowMs + event.costMs;
    if (event.costMs > 0) {
      maxWaitMs = Math.max(maxWaitMs, simulation.nowMs - event.arrivedMs);
    }
    node.runEvent(event.action);
    if (eventEndsMs <= simulation.nowMs) {
      completeEvent();
      return;
    }
    int startedProcess = processNumber;
    simulation.schedule(
        eventEndsMs - simulation.nowMs,
        () -> {
          if (startedProcess == processNumber) {
            completeEvent();
            processWaitingEvents();
          }
        });
  }

  /** Runs the deferred actions of the event in order. After that the next event may start. */
  private void completeEvent() {
    while (!deferredActions.isEmpty()) {
      deferredActions.remove().run();
    }
    eventUnderWay = false;
    node.scheduleWakeUp();
  }

  /** Runs the action when the present event ends, or at once if there is none. */
  void afterEvent(Runnable action) {
    if (eventUnderWay) {
      deferredActions.add(action);
    } else {
      action.run();
    }
  }

  /** Pauses the process in the present event, before any of its deferred actions run. */
  void pauseInEvent(long forMs) {
    if (forMs > 0) {
      eventEndsMs += forMs;
      pausedUntilMs = eventEndsMs;
    }
  }

  boolean isPaused() {
    return simulation.nowMs < pausedUntilMs;
  }

  long maxWaitMs() {
    return maxWaitMs;
  }
}

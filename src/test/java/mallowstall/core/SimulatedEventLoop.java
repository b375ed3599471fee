package mallowstall.core;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The event loop of one controller: it processes one event at a time, in the order of their
 * arrival. What is decided in an event leaves when its processing is over, or never if the process
 * ends before.
 */
final class SimulatedEventLoop {
  private final Simulation simulation;
  private final SimulatedController node;

  /** Events that have arrived and are not processed yet, the earliest first. */
  private final Queue<WaitingEvent> waitingEvents = new ArrayDeque<>();

  /** What the event under way has decided, in that order. */
  private final Queue<Runnable> departures = new ArrayDeque<>();

  private boolean eventUnderWay;

  /** When the processing of the event under way is over. */
  private long eventEndsMs;

  /** The end of the latest pause. */
  private long pausedUntilMs;

  /** Processes so far; what was scheduled for a former one isn't done. */
  private int processNumber;

  /** The longest that an event which costs processor time has waited. */
  private long maxWaitMs;

  /** An event, and the processor time that it takes. */
  private record WaitingEvent(Runnable action, long arrivedMs, long costMs) {}

  SimulatedEventLoop(Simulation simulation, SimulatedController node) {
    this.simulation = simulation;
    this.node = node;
  }

  /** The process ends: nothing more is processed, and nothing leaves. */
  void restart() {
    processNumber++;
    waitingEvents.clear();
    departures.clear();
    eventUnderWay = false;
    pausedUntilMs = 0;
  }

  /** The event is processed after all that arrived before it. */
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

  /** What the event has decided leaves, in that order; then the next one may begin. */
  private void completeEvent() {
    while (!departures.isEmpty()) {
      departures.remove().run();
    }
    eventUnderWay = false;
    node.scheduleWakeUp();
  }

  /** Runs the action when the event under way is over, at once if there is none. */
  void afterEvent(Runnable action) {
    if (eventUnderWay) {
      departures.add(action);
    } else {
      action.run();
    }
  }

  /** The process stands still in the event under way, before anything that it decides leaves. */
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

package mallowstall.core.machines;

import java.util.ArrayDeque;
import java.util.List;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.model.Heartbeat;

/**
 * Asks workers for reports, a limited number at a time. Questions have their machines inspected in
 * turns, one machine each, so that a question about many machines doesn't hold up the others.
 * Mutable.
 */
final class InspectionQueue {
  /** Maximum number of workers that are asked for a report at a time. */
  private static final int INSPECTIONS_MAX = 64;

  /**
   * Time in milliseconds after which a worker that hasn't answered is asked once more. Of hundreds
   * of requests, some are delayed by a lost packet.
   */
  private static final long REPEAT_AFTER_MS = 200;

  private final EventClock clock;
  private final Effects effects;
  private final Metrics metrics;
  private final ArrayDeque<Question> questions = new ArrayDeque<>();
  private int inProgress;

  /** A question that needs reports of workers. */
  interface Question {
    /** Returns the next machine to inspect, or null if there is none for now. */
    ManagedMachine nextMachine();

    /** Called when the worker of a machine that was returned has answered or not. */
    void inspectionEnded(ManagedMachine machine);
  }

  InspectionQueue(EventClock clock, Effects effects, Metrics metrics) {
    this.clock = clock;
    this.effects = effects;
    this.metrics = metrics;
  }

  /** Returns whether the machine's worker can be asked at all. */
  static boolean canInspect(ManagedMachine machine) {
    return machine.address() != null && machine.workerSession() != 0;
  }

  /** Inspects the machines that the question returns, until it returns none. */
  void add(Question question) {
    questions.add(question);
    dispatch();
  }

  private void dispatch() {
    while (inProgress < INSPECTIONS_MAX && !questions.isEmpty()) {
      Question question = questions.poll();
      ManagedMachine machine = question.nextMachine();
      if (machine != null) {
        questions.add(question);
        inspect(machine, question);
      }
    }
  }

  private void inspect(ManagedMachine machine, Question question) {
    if (machine.inspection().isInProgress()) {
      machine.inspection().whenEnded(() -> question.inspectionEnded(machine));
      return;
    }
    Inspection inspection = new Inspection(machine);
    machine.inspection().whenEnded(() -> question.inspectionEnded(machine));
    inspection.request();
    clock.schedule(REPEAT_AFTER_MS, inspection::repeat);
  }

  /** One inspection, which takes one or two requests. */
  private final class Inspection {
    private final ManagedMachine machine;
    private final MachineInspection record;
    private int unanswered;
    private boolean ended;

    Inspection(ManagedMachine machine) {
      this.machine = machine;
      this.record = machine.beginInspection();
    }

    void repeat() {
      if (!ended) {
        request();
      }
    }

    void request() {
      unanswered++;
      inProgress++;
      metrics.increment("inspections");
      long requestedMs = clock.now();
      effects.sendCommands(
          machine.address(),
          machine.commandToken(),
          machine.workerSession(),
          List.of(),
          result -> receive(result.heartbeat(), requestedMs));
    }

    private void receive(Heartbeat heartbeat, long requestedMs) {
      unanswered--;
      inProgress--;
      boolean isFromMachine = heartbeat != null && heartbeat.machine().equals(machine.id());
      if (!ended && (isFromMachine || unanswered == 0)) {
        ended = true;
        record.end(isFromMachine ? heartbeat : null, requestedMs, clock.now());
      }
      dispatch();
    }
  }
}

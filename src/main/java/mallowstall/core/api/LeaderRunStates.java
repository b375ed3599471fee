package mallowstall.core.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.RunObservation;
import mallowstall.core.model.RunStateQuestion;
import mallowstall.core.model.TaskLocations;
import mallowstall.core.model.UnknownCause;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Determines whether tasks of a job that this controller leads are running. Only the leader of a
 * job knows on which machines its tasks may be, so only the leader can tell that none is running.
 * Confined to the event loop.
 */
public final class LeaderRunStates {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.api");

  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final LocalRunStates local;
  private final RunStateExchange exchange;
  private final RecentObservations recent;

  /** Callbacks of evaluations in progress, by job. */
  private final Map<String, List<Consumer<RunObservation>>> waiting = new HashMap<>();

  /** Creates an instance that asks other machine leaders through the exchange. */
  public LeaderRunStates(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      LocalRunStates local,
      RunStateExchange exchange) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.local = local;
    this.exchange = exchange;
    this.recent = new RecentObservations(clock);
  }

  /**
   * Determines whether tasks of the job are running. The observation is unknown if this controller
   * doesn't lead the job in this leader epoch. The callback is called exactly once, possibly before
   * this method returns.
   */
  void observe(String job, long leaderEpoch, Consumer<RunObservation> callback) {
    TaskLocations locations = local.locate(job, leaderEpoch);
    RunObservation known = recent.find(job, leaderEpoch, RunStateTimes.OBSERVATION_AGE_MAX_MS);
    if (locations == null || known.isKnown()) {
      callback.accept(locations == null ? RunObservation.unknown(UnknownCause.NOT_LEADER) : known);
      return;
    }
    List<Consumer<RunObservation>> others = waiting.get(job);
    if (others != null) {
      others.add(callback);
      return;
    }
    List<Consumer<RunObservation>> callbacks = new ArrayList<>();
    callbacks.add(callback);
    waiting.put(job, callbacks);
    evaluate(
        job,
        leaderEpoch,
        locations,
        observation -> {
          waiting.remove(job);
          logUnknown(job, leaderEpoch, locations, observation);
          recent.record(job, leaderEpoch, observation);
          callbacks.forEach(each -> each.accept(observation));
        });
  }

  private void logUnknown(
      String job, long leaderEpoch, TaskLocations locations, RunObservation observation) {
    if (!observation.isKnown()) {
      LOG.debug(
          "job state not evaluated job={} epoch={} cause={} gap={} since_end_ms={} machines={}",
          job,
          leaderEpoch,
          observation.unknownCause(),
          locations.gap(),
          clock.now() - Math.max(0, locations.lastAttemptEndMs()),
          locations.machines());
    }
  }

  private void evaluate(
      String job, long leaderEpoch, TaskLocations locations, Consumer<RunObservation> callback) {
    Map<String, List<String>> machinesByLeader = new HashMap<>();
    UnknownCause gap = locations.gap();
    for (String machine : locations.machines()) {
      MachineEntry entry = store.machine(machine);
      if (entry == null) {
        gap = UnknownCause.MACHINE_WITHOUT_ENTRY;
      } else {
        machinesByLeader.computeIfAbsent(entry.node(), node -> new ArrayList<>()).add(machine);
      }
    }
    RunObservation endedAttempts = RunObservation.idle(locations.lastAttemptEndMs(), clock.now());
    Evaluation evaluation = new Evaluation(gap, machinesByLeader.size(), endedAttempts, callback);
    // An observation that no task was running must be newer than the end of any attempt.
    long sinceLastEndMs = clock.now() - locations.lastAttemptEndMs();
    long maxAgeMs = Math.min(RunStateTimes.OBSERVATION_AGE_MAX_MS, sinceLastEndMs);
    machinesByLeader.forEach(
        (node, machines) ->
            ask(node, new RunStateQuestion(job, leaderEpoch, machines, maxAgeMs), evaluation));
    evaluation.endIfComplete();
  }

  private void ask(String node, RunStateQuestion question, Evaluation evaluation) {
    if (node.equals(settings.node())) {
      local.observe(question, evaluation::add);
    } else {
      exchange.ask(node, question, evaluation::add);
    }
  }

  /** Combines the observations of the machine leaders that are concerned. */
  private static final class Evaluation {
    /** Why not all tasks are covered by the machines that are asked; null if they are. */
    private final UnknownCause gap;

    private int pendingLeaders;
    private RunObservation combined;
    private Consumer<RunObservation> callback;

    /** {@code endedAttempts} is the observation that none of the ended attempts is running. */
    Evaluation(
        UnknownCause gap,
        int leaders,
        RunObservation endedAttempts,
        Consumer<RunObservation> callback) {
      this.gap = gap;
      this.pendingLeaders = leaders;
      this.combined = endedAttempts;
      this.callback = callback;
    }

    void add(RunObservation observation) {
      pendingLeaders--;
      combined = combined.andIdle(observation);
      if (observation.isRunning()) {
        end(observation);
      } else {
        endIfComplete();
      }
    }

    void endIfComplete() {
      if (pendingLeaders == 0) {
        end(gap == null ? combined : RunObservation.unknown(gap));
      }
    }

    private void end(RunObservation observation) {
      if (callback == null) {
        return;
      }
      Consumer<RunObservation> ended = callback;
      callback = null;
      ended.accept(observation);
    }
  }
}

package mallowstall.core.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import mallowstall.core.cluster.ClusterVersion;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.RunObservation;
import mallowstall.core.model.RunStateQuestion;
import mallowstall.core.model.UnknownCause;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Determines for a user's request whether tasks of an open job are running: from this controller's
 * own machines, from a machine leader that reports running tasks of the job, or from the job's
 * leader. If none of these knows or can be reached, all controllers are asked. Lookups of one job
 * that begin while another is in progress share its result. See docs/design.md, "Pending and
 * running". Mutable; confined to the event loop.
 */
public final class RunStateLookup {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.api");

  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final ClusterVersion clusterVersion;
  private final LocalRunStates local;
  private final LeaderRunStates leaderRunStates;
  private final RunStateExchange exchange;
  private final RecentObservations recent;

  /** Lookups in progress, by job. */
  private final Map<String, Lookup> lookups = new HashMap<>();

  /** Creates a lookup that asks other controllers through the exchange. */
  public RunStateLookup(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      ClusterVersion clusterVersion,
      LocalRunStates local,
      LeaderRunStates leaderRunStates,
      RunStateExchange exchange) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.clusterVersion = clusterVersion;
    this.local = local;
    this.leaderRunStates = leaderRunStates;
    this.recent = new RecentObservations(clock);
    this.exchange = exchange;
  }

  /**
   * Determines whether tasks of the job are running. The callback is called exactly once, possibly
   * before this method returns, with an unknown observation if that can't be determined in time.
   *
   * @param job the job's entry, which was read for the request
   * @param validUntilMs steady time in milliseconds at which the response must leave at the latest
   */
  void lookUp(JobEntry job, long validUntilMs, Consumer<RunObservation> callback) {
    String id = job.spec().id();
    RunObservation running = local.latestRunning(id);
    if (isRecent(running)) {
      callback.accept(running);
      return;
    }
    RunObservation beforeAcceptance = beforeAcceptance(job);
    if (isRecent(beforeAcceptance)) {
      callback.accept(beforeAcceptance);
      return;
    }
    RunObservation known = recent.find(id, job.epoch(), RunStateTimes.OBSERVATION_AGE_MAX_MS);
    if (known.isKnown()) {
      callback.accept(known);
      return;
    }
    Lookup inProgress = lookups.get(id);
    if (inProgress != null && inProgress.leaderEpoch == job.epoch()) {
      inProgress.callbacks.add(callback);
      return;
    }
    new Lookup(job, callback).begin(validUntilMs);
  }

  /**
   * Returns the state that the last status updates show, of any age. Used while a controller of an
   * older version, which answers no questions, may be the one that knows.
   */
  private RunObservation reportedState(String job) {
    int runningTasks = local.reportedRunningTasks(job);
    return runningTasks > 0
        ? RunObservation.running(runningTasks, clock.now())
        : RunObservation.idle(clock.now(), clock.now());
  }

  /** Returns the observation that no task ran before the job was accepted, by its time of day. */
  private RunObservation beforeAcceptance(JobEntry job) {
    // Both times of day may be off, in opposite directions.
    long ageMs = clock.wallClockMs() - job.submittedMs() + 2 * settings.maxClockSkewMs();
    long acceptedMs = clock.now() - Math.max(0, ageMs);
    return RunObservation.idle(acceptedMs, acceptedMs);
  }

  private boolean isRecent(RunObservation observation) {
    return observation.isKnown()
        && clock.now() - observation.atMs() <= RunStateTimes.OBSERVATION_AGE_MAX_MS;
  }

  /** The search for the state of one job. */
  private final class Lookup {
    private final String id;
    private final String leader;
    private final long leaderEpoch;
    private final boolean isLeader;
    private final RunStateQuestion question;
    private final Set<String> asked = new HashSet<>();
    private List<Consumer<RunObservation>> callbacks = new ArrayList<>();
    private int pendingAnswers;

    /** Why the job's leader doesn't know; null if it hasn't been asked. */
    private UnknownCause causeAtLeader;

    Lookup(JobEntry job, Consumer<RunObservation> callback) {
      id = job.spec().id();
      leader = job.leader();
      leaderEpoch = job.epoch();
      isLeader = leader.equals(settings.node()) && job.incarnation() == store.incarnation();
      question =
          new RunStateQuestion(id, leaderEpoch, List.of(), RunStateTimes.OBSERVATION_AGE_MAX_MS);
      callbacks.add(callback);
    }

    void begin(long validUntilMs) {
      lookups.put(id, this);
      clock.schedule(
          Math.max(0, validUntilMs - clock.now()),
          () -> end(RunObservation.unknown(UnknownCause.NO_ANSWER_IN_TIME)));
      if (isLeader) {
        leaderRunStates.observe(id, leaderEpoch, this::endOrAskAll);
        return;
      }
      String runner = local.peerWithRunningTasks(id);
      if (runner != null && exchange.reachesDirectly(runner)) {
        ask(runner, this::endOrAskLeader);
      } else {
        endOrAskLeader(RunObservation.unknown(UnknownCause.NOT_OBSERVED));
      }
    }

    private void endOrAskLeader(RunObservation observation) {
      boolean canAskLeader = !asked.contains(leader) && exchange.reachesDirectly(leader);
      if (observation.isKnown() || !canAskLeader) {
        endOrAskAll(observation);
      } else {
        ask(leader, this::endOrAskAll);
      }
    }

    private void endOrAskAll(RunObservation observation) {
      if (callbacks == null) {
        return;
      }
      if (observation.isKnown()) {
        end(observation);
        return;
      }
      List<String> others = new ArrayList<>(settings.peers());
      others.removeAll(asked);
      pendingAnswers = others.size() + 1;
      if (isLeader || asked.contains(leader)) {
        causeAtLeader = observation.unknownCause();
      }
      local.observe(question, this::endOrAwaitOthers);
      others.forEach(node -> ask(node, this::endOrAwaitOthers));
    }

    private void endOrAwaitOthers(RunObservation observation) {
      pendingAnswers--;
      if (observation.isKnown() || pendingAnswers == 0) {
        end(observation);
      }
    }

    private void ask(String node, Consumer<RunObservation> callback) {
      asked.add(node);
      exchange.ask(node, question, callback);
    }

    private RunObservation withLeadersCause(RunObservation observation) {
      return observation.isKnown() || causeAtLeader == null
          ? observation
          : RunObservation.unknown(causeAtLeader);
    }

    private void end(RunObservation observation) {
      if (callbacks == null) {
        return;
      }
      List<Consumer<RunObservation>> ended = callbacks;
      callbacks = null;
      lookups.remove(id, this);
      recent.record(id, leaderEpoch, observation);
      if (!observation.isKnown()) {
        LOG.debug(
            "job state unknown job={} epoch={} leader={} asked={} cause={} cause_at_leader={}",
            id,
            leaderEpoch,
            leader,
            asked,
            observation.unknownCause(),
            causeAtLeader);
      }
      RunObservation result =
          !observation.isKnown() && clusterVersion.isAnyWithoutRunStateQueries()
              ? reportedState(id)
              : withLeadersCause(observation);
      ended.forEach(callback -> callback.accept(result));
    }
  }
}

package mallowstall.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mallowstall.Constants;
import mallowstall.core.Holder.Active;
import mallowstall.core.Holder.Held;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.StartOrder;
import mallowstall.core.Model.Starts;
import mallowstall.core.Model.TaskRef;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends starts to the owners of machines, those of one round together. Mutable. */
final class StartSender {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.placement");

  private final EventClock clock;
  private final CoreSettings settings;
  private final Metrics metrics;
  private final View view;
  private final PeerMessenger messenger;
  private final Store store;
  private final Holder holder;

  /** Starts that have gathered, by owner. */
  private final Map<String, List<StartOrder>> out = new LinkedHashMap<>();

  StartSender(
      EventClock clock,
      CoreSettings settings,
      Metrics metrics,
      Store store,
      View view,
      PeerMessenger messenger,
      Holder holder) {
    this.clock = clock;
    this.settings = settings;
    this.metrics = metrics;
    this.view = view;
    this.messenger = messenger;
    this.store = store;
    this.holder = holder;
  }

  /** Starts a task on the machine, in the place of these others. */
  void start(Held held, int task, View.Seen machine, List<TaskRef> instead) {
    View.Peer peer = view.peer(machine.owner);
    long attempt = (held.job.epoch() << Constants.ATTEMPT_BITS) + ++held.counter;
    long life = Math.min(Constants.START_LIFE_MS, store.sessionLeft());
    long expiry = clock.wallClock() + life - 2 * settings.skewMs();
    if (held.active.isEmpty() && held.doneCount == 0) {
      metrics.time("job_wait", clock.wallClock() - held.job.submittedMs());
    }
    holder.place(
        new Active(
            held,
            task,
            attempt,
            machine.id,
            machine.state.zone(),
            machine.state.type(),
            machine.owner,
            machine.ownerIncarnation,
            peer.connection,
            peer.nextSequence));
    held.lastStart = clock.now();
    machine.book(held.spec, 1);
    out.computeIfAbsent(machine.owner, k -> new ArrayList<>())
        .add(new StartOrder(machine.id, held.id, task, attempt, held.job.epoch(), expiry, instead));
    LOG.debug(
        "start {}/{} attempt {} on {} through {}, image {}",
        held.id,
        task,
        attempt,
        machine.id,
        machine.owner,
        machine.state.images().contains(held.spec.image()) ? "there" : "missing");
  }

  /** Sends the starts that have gathered, through the owners of their machines. */
  void send() {
    for (Map.Entry<String, List<StartOrder>> entry : out.entrySet()) {
      View.Peer peer = view.peer(entry.getKey());
      messenger.sendStarts(
          entry.getKey(),
          new Starts(
              settings.node(),
              store.incarnation(),
              peer.connection,
              peer.nextSequence++,
              entry.getValue()));
    }
    out.clear();
  }
}

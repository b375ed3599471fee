package mallowstall.core.kv;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.StoredEntry;

/**
 * Passes each change of the state replica, cast to its entry type, to the subscribers for that
 * type, in a fixed order.
 */
public final class StateChangeDispatcher implements StateChangeListener {
  /** Receives changes of job entries, which are never deleted. */
  public interface JobSubscriber {
    /** Called when a job's entry has changed. {@code before} is null if the job is new. */
    void jobChanged(JobEntry before, JobEntry after);
  }

  /** Receives changes of the messages that a controller exchanges through the state service. */
  public interface ExchangeSubscriber {
    /** Called when an entry has changed. {@code after} is null if the entry was deleted. */
    void entryChanged(String key, StoredEntry before, StoredEntry after);
  }

  private final List<JobSubscriber> jobSubscribers;
  private final ExchangeSubscriber runStatesExchanged;
  private final Consumer<String> completionBitsChanged;
  private final BiConsumer<String, MachineEntry> machineChanged;
  private final List<Consumer<String>> machineRemoved;
  private final BiConsumer<String, MachineEntry> machineEntrySuperseded;
  private final Consumer<String> machineReturned;
  private final Runnable replicaAdvanced;
  private final LongConsumer replicaSynced;

  /**
   * Creates a dispatcher that calls subscribers in the order of their lists. When a machine is
   * removed, {@code machineChanged} receives a null entry before {@code machineRemoved} is called.
   */
  public StateChangeDispatcher(
      List<JobSubscriber> jobSubscribers,
      ExchangeSubscriber runStatesExchanged,
      Consumer<String> completionBitsChanged,
      BiConsumer<String, MachineEntry> machineChanged,
      List<Consumer<String>> machineRemoved,
      BiConsumer<String, MachineEntry> machineEntrySuperseded,
      Consumer<String> machineReturned,
      Runnable replicaAdvanced,
      LongConsumer replicaSynced) {
    this.jobSubscribers = jobSubscribers;
    this.runStatesExchanged = runStatesExchanged;
    this.completionBitsChanged = completionBitsChanged;
    this.machineChanged = machineChanged;
    this.machineRemoved = machineRemoved;
    this.machineEntrySuperseded = machineEntrySuperseded;
    this.machineReturned = machineReturned;
    this.replicaAdvanced = replicaAdvanced;
    this.replicaSynced = replicaSynced;
  }

  @Override
  public void machineEntrySuperseded(String machine, MachineEntry record) {
    machineEntrySuperseded.accept(machine, record);
  }

  @Override
  public void machineReturned(String machine) {
    machineReturned.accept(machine);
  }

  @Override
  public void entryChanged(String key, StoredEntry before, StoredEntry after) {
    if (key.startsWith(StateKeys.JOB_PREFIX)) {
      if (after != null) {
        jobChanged((JobEntry) before, (JobEntry) after);
      }
    } else if (key.startsWith(StateKeys.COMPLETION_BITS_PREFIX)) {
      if (after != null) {
        completionBitsChanged.accept(JobBitmaps.jobFromBitsKey(key));
      }
    } else if (key.startsWith(StateKeys.MACHINE_PREFIX)) {
      machineChanged(StateKeys.machineOf(key), (MachineEntry) after);
    } else if (key.startsWith(StateKeys.RUN_STATE_EXCHANGE_PREFIX)) {
      runStatesExchanged.entryChanged(key, before, after);
    }
  }

  private void jobChanged(JobEntry before, JobEntry after) {
    for (int i = 0; i < jobSubscribers.size(); i++) {
      jobSubscribers.get(i).jobChanged(before, after);
    }
  }

  private void machineChanged(String id, MachineEntry after) {
    machineChanged.accept(id, after);
    if (after != null) {
      return;
    }
    for (int i = 0; i < machineRemoved.size(); i++) {
      machineRemoved.get(i).accept(id);
    }
  }

  @Override
  public void replicaAdvanced() {
    replicaAdvanced.run();
  }

  @Override
  public void replicaSynced(long revision) {
    replicaSynced.accept(revision);
  }
}

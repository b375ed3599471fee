package mallowstall.core;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import mallowstall.core.Model.Entry;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.MachineRec;

/** Hands each change of the replica, typed, to the modules it concerns, in their fixed order. */
final class StateChangeDispatcher implements Store.Listener {
  /** Is told of changes of jobs; their entries are never deleted. */
  interface JobSubscriber {
    /** A job's entry has changed; {@code before} is null if it is new. */
    void jobChanged(JobRec before, JobRec after);
  }

  private final List<JobSubscriber> jobs;
  private final Consumer<String> completionBits;
  private final BiConsumer<String, MachineRec> machineChanged;
  private final List<Consumer<String>> machineRemoved;
  private final BiConsumer<String, MachineRec> machineOvertaken;
  private final Runnable advanced;
  private final LongConsumer synced;

  /**
   * Subscribers are called in the order of their lists; {@code machineChanged} hears of removals
   * too, by a null record, before {@code machineRemoved}.
   */
  StateChangeDispatcher(
      List<JobSubscriber> jobs,
      Consumer<String> completionBits,
      BiConsumer<String, MachineRec> machineChanged,
      List<Consumer<String>> machineRemoved,
      BiConsumer<String, MachineRec> machineOvertaken,
      Runnable advanced,
      LongConsumer synced) {
    this.jobs = jobs;
    this.completionBits = completionBits;
    this.machineChanged = machineChanged;
    this.machineRemoved = machineRemoved;
    this.machineOvertaken = machineOvertaken;
    this.advanced = advanced;
    this.synced = synced;
  }

  @Override
  public void overtaken(String machine, MachineRec record) {
    machineOvertaken.accept(machine, record);
  }

  @Override
  public void changed(String key, Entry before, Entry after) {
    if (key.startsWith(Store.JOBS)) {
      if (after != null) {
        jobChanged((JobRec) before, (JobRec) after);
      }
    } else if (key.startsWith(Store.BITS)) {
      if (after != null) {
        completionBits.accept(JobEntries.jobOf(key));
      }
    } else if (key.startsWith(Store.MACHINES)) {
      machineChanged(key.substring(Store.MACHINES.length()), (MachineRec) after);
    }
  }

  private void jobChanged(JobRec before, JobRec after) {
    for (int i = 0; i < jobs.size(); i++) {
      jobs.get(i).jobChanged(before, after);
    }
  }

  private void machineChanged(String id, MachineRec after) {
    machineChanged.accept(id, after);
    if (after != null) {
      return;
    }
    for (int i = 0; i < machineRemoved.size(); i++) {
      machineRemoved.get(i).accept(id);
    }
  }

  @Override
  public void advanced() {
    advanced.run();
  }

  @Override
  public void synced(long revision) {
    synced.accept(revision);
  }
}

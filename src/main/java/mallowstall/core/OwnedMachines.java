package mallowstall.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mallowstall.Constants;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.ExitReason;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.Room;
import mallowstall.core.Model.TaskReport;
import mallowstall.core.Model.TaskState;
import mallowstall.core.OwnedMachine.Reservation;

/** The machines that this controller owns, and what follows from what they report. Mutable. */
final class OwnedMachines {
  private final EventClock clock;
  private final CoreSettings settings;
  private final View view;
  private final Store store;
  private final Map<String, OwnedMachine> machines = new LinkedHashMap<>();

  OwnedMachines(EventClock clock, CoreSettings settings, Store store, View view) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.store = store;
  }

  /** The machine, if this controller owns it; else null. */
  OwnedMachine get(String id) {
    return machines.get(id);
  }

  boolean contains(String id) {
    return machines.containsKey(id);
  }

  /** Whether it is still the one that this controller owns under that name. */
  boolean has(OwnedMachine machine) {
    return machines.get(machine.id) == machine;
  }

  Collection<OwnedMachine> all() {
    return machines.values();
  }

  /** This controller's from the change of that revision on, which is its term too. */
  OwnedMachine add(String id, MachineType type, String zone, boolean spot, long revision) {
    OwnedMachine machine = new OwnedMachine(id, type, zone, spot, revision, revision);
    machine.idleSince = clock.now();
    // reports don't name images: without what its last owner told of them, tasks were sent to
    // machines that had to fetch theirs, each time that machines changed owner
    View.Seen seen = view.machines.get(id);
    if (seen != null && seen.state != null) {
      machine.images.addAll(seen.state.images());
    }
    machines.put(id, machine);
    return machine;
  }

  /** Whether the machine was owned until now. */
  boolean remove(String id) {
    return machines.remove(id) != null;
  }

  /** Whether the task runs again after this end, whose only trace is what statements tell of it. */
  boolean runsAgain(TaskReport task) {
    if (task.why() != ExitReason.DONE) {
      return true;
    }
    JobRec job = store.job(task.job());
    return job != null && job.spec().service();
  }

  /** A machine whose reports come to nobody answers commands, but loses its tasks each lease. */
  boolean usable(OwnedMachine machine) {
    long now = clock.now();
    return !machine.lost
        && !machine.faulty
        && machine.noticeUntil == Long.MAX_VALUE
        && machine.quarantineUntil <= now
        && !silent(machine)
        && now - machine.answeredAt <= silenceMs();
  }

  private long silenceMs() {
    return Math.max(Constants.SILENT_MS, settings.reportMs() * 2);
  }

  /** Whether the machine hasn't been heard for so long that it gets no tasks. */
  boolean silent(OwnedMachine machine) {
    return clock.now() - machine.heardAt > silenceMs();
  }

  /** Processors, GPUs and memory that nothing on the machine and no accepted start takes. */
  double[] free(OwnedMachine machine) {
    double[] room = {machine.type.cpus(), machine.type.gpus(), machine.type.memoryGb()};
    for (TaskReport task : machine.tasks.values()) {
      if (task.state() == TaskState.EXITED) {
        continue;
      }
      if (machine.replaced.contains(TaskAttempt.of(task))) {
        continue;
      }
      JobRec job = store.job(task.job());
      if (job != null) {
        minus(room, job.spec(), 1);
      }
    }
    for (Reservation booked : machine.reservations.values()) {
      minus(room, booked.spec, 1);
    }
    return room;
  }

  /** Takes the room of so many tasks of the job away. */
  static void minus(double[] room, JobSpec spec, int times) {
    room[0] -= times * spec.cpus();
    room[1] -= times * spec.gpus();
    room[2] -= times * spec.memoryGb();
  }

  /** The roomiest machines, as many as fit into one value of the state service. */
  List<Room> rooms() {
    List<Room> out = new ArrayList<>();
    for (OwnedMachine machine : machines.values()) {
      if (!usable(machine)) {
        continue;
      }
      double[] free = free(machine);
      out.add(new Room(machine.id, free[0], free[1], free[2]));
    }
    // two hundred machines once made a value that the state service refused
    int most = Math.max(1, settings.valueBytes() / Constants.ROOM_BYTES - 2);
    if (out.size() <= most) {
      return out;
    }
    out.sort(Comparator.comparingDouble(Room::cpus).reversed());
    return out.subList(0, most);
  }
}

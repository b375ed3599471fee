package mallowstall.core;

import java.util.List;
import java.util.Map;

/** The values the core works with. All are immutable unless said otherwise. */
public final class Model {
  private Model() {}

  /** Priorities, lowest first. */
  public enum Priority {
    LOW,
    NORMAL,
    HIGH,
    PRODUCTION
  }

  /**
   * How a job's tasks end: those of a batch by themselves, replicas of a service when cancelled.
   */
  public enum JobKind {
    BATCH,
    SERVICE
  }

  /**
   * How a job has ended; {@code NONE} while a batch job is open, {@code SERVING} while a service
   * is.
   *
   * <p>Versions without services can't read {@code SERVING}, so they take an open service for an
   * unreadable entry: they answer 503 for it, and never run it as a batch or call it done.
   */
  public enum Final {
    NONE,
    DONE,
    CANCELLED,
    SERVING
  }

  /** What a worker says of a task. */
  public enum TaskState {
    FETCHING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Why a task exited. */
  public enum ExitReason {
    DONE,
    STOPPED,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN
  }

  /** A job as its user described it. */
  public record JobSpec(
      String id,
      String jobClass,
      String team,
      Priority priority,
      int tasks,
      double cpus,
      double gpus,
      double memoryGb,
      String image,
      double imageGb,
      List<String> types,
      String zone,
      boolean oneZone,
      boolean spread,
      boolean spot,
      double estimateS,
      double checkpointS,
      double saveS,
      Double deadlineS,
      JobKind kind) {
    /** Entries of batch jobs carry no kind: versions without services wrote them. */
    public JobSpec {
      if (kind == null) {
        kind = JobKind.BATCH;
      }
    }

    /** Whether its tasks are replicas that run until the job is cancelled. */
    boolean service() {
      return kind == JobKind.SERVICE;
    }

    /** Whether one task fits on an empty machine of this type, and the job allows the type. */
    boolean fits(MachineType type) {
      return (types == null || types.contains(type.name()))
          && cpus <= type.cpus() + 1e-9
          && gpus <= type.gpus() + 1e-9
          && memoryGb <= type.memoryGb() + 1e-9;
    }

    /** Whether the job may run on a machine of this type, in this zone, spot or not. */
    boolean allowsMachine(String type, String machineZone, boolean spotMachine) {
      return (types == null || types.contains(type))
          && (zone == null || zone.equals(machineZone))
          && (!spotMachine || spot);
    }
  }

  // ---- entries in the state service ---------------------------------------------------------
  /** Anything kept under a key of the state service. */
  public sealed interface Entry
      permits SessionRec,
          VersionRec,
          JobRec,
          BitsRec,
          MachineRec,
          GroupRec,
          TeamRec,
          DigestRec,
          DutyRec,
          CounterRec {}

  /** A controller's present process, on its lease. */
  public record SessionRec(String node, long incarnation) implements Entry {}

  /** The program version of a controller's process, written together with its session. */
  public record VersionRec(String node, long incarnation, int version) implements Entry {}

  /**
   * A job's entry. {@code done} holds the first bits of the bitmap, further ones are {@link
   * BitsRec}: see {@link JobEntries}.
   */
  public record JobRec(
      JobSpec spec,
      long submittedMs,
      String holder,
      long incarnation,
      long epoch,
      byte[] done,
      int doneCount,
      int grant,
      Final fin)
      implements Entry {
    JobRec withFinal(Final f) {
      return new JobRec(spec, submittedMs, holder, incarnation, epoch, done, doneCount, grant, f);
    }

    JobRec withHolder(String node, long inc) {
      return new JobRec(spec, submittedMs, node, inc, epoch + 1, done, doneCount, grant, fin);
    }

    /** With these done bits in the entry itself, and so many done tasks in all. */
    JobRec withDone(byte[] bits, int count, Final f) {
      return new JobRec(spec, submittedMs, holder, incarnation, epoch, bits, count, grant, f);
    }

    JobRec withGrant(int g) {
      return new JobRec(spec, submittedMs, holder, incarnation, epoch, done, doneCount, g, fin);
    }

    /** True once the job has ended: nothing of it may be started any more. */
    boolean over() {
      return fin == Final.DONE || fin == Final.CANCELLED;
    }

    /** True while somebody must still look after the job. */
    boolean open() {
      return !over() || grant > 0;
    }

    /** The entry of a job that has just been accepted. */
    static JobRec accepted(JobSpec spec, long submittedMs, String holder, long incarnation) {
      Final fin = spec.service() ? Final.SERVING : Final.NONE;
      return new JobRec(spec, submittedMs, holder, incarnation, 1, new byte[0], 0, 0, fin);
    }
  }

  /** Further bits of a large job's bitmap: a chunk or a piece. */
  public record BitsRec(byte[] done) implements Entry {}

  /**
   * Who owns a machine. The token is the revision at which this was written, so whatever is written
   * later has the larger one; it isn't known before and stands in the mirror only. No node: the
   * machine was returned.
   */
  public record MachineRec(
      String node, long incarnation, long token, String type, String zone, boolean spot)
      implements Entry {
    MachineRec withToken(long t) {
      return new MachineRec(node, incarnation, t, type, zone, spot);
    }

    static MachineRec returned() {
      return new MachineRec("", 0, 0, "", "", false);
    }
  }

  /**
   * Machines that turned to one controller at about the same time, taken over in one change: one
   * each took longer than their leases when hundreds changed owner.
   */
  public record GroupRec(String node, long incarnation, List<GroupMachine> machines)
      implements Entry {}

  /** A machine of a group. */
  public record GroupMachine(String id, String type, String zone, boolean spot) {}

  /** What all running grants of a team add up to. */
  public record TeamRec(double cpus, double gpus) implements Entry {}

  /** A controller's free room and waiting work, for all to see. */
  public record DigestRec(long incarnation, List<Room> rooms, double pendingCpus)
      implements Entry {}

  /** Free room of one machine, as a digest tells it. */
  public record Room(String machine, double cpus, double gpus, double memoryGb) {}

  /** Who has the cloud duty. */
  public record DutyRec(String node, long incarnation) implements Entry {}

  /** The counter of incarnations. */
  public record CounterRec(long value) implements Entry {}

  // ---- workers ------------------------------------------------------------------------------
  /** A task as its worker reports it. */
  public record TaskReport(
      String job, int task, long attempt, TaskState state, ExitReason why, boolean saved) {}

  /** What a worker says of itself. */
  public record Report(
      String machine,
      String addr,
      String type,
      String zone,
      boolean spot,
      long session,
      long seq,
      long token,
      Double noticeS,
      List<TaskReport> tasks) {}

  /** What a worker is told to do with a task. */
  public enum CommandKind {
    START,
    STOP,
    FORGET
  }

  /** A command to a worker. */
  public record Command(CommandKind kind, String job, int task, long attempt, double graceS) {}

  /** Answer to a report. */
  public record ReportAnswer(int status, long token, List<Command> commands, String reportTo) {
    /** The worker stays, and executes these commands. */
    public static ReportAnswer ok(long token, List<Command> c) {
      return new ReportAnswer(200, token, c, null);
    }

    /** The worker reports to that controller instead. */
    public static ReportAnswer elsewhere(String node) {
      return new ReportAnswer(421, 0, List.of(), node);
    }

    /** This controller can't answer for the machine now. */
    public static ReportAnswer unable() {
      return new ReportAnswer(503, 0, List.of(), null);
    }
  }

  // ---- cloud --------------------------------------------------------------------------------
  /** A type of machine that can be rented. */
  public record MachineType(
      String name,
      double cpus,
      double gpus,
      double memoryGb,
      double cacheGb,
      double fetchGbPerS,
      double price,
      double spotPrice,
      double bootS,
      List<String> zones) {}

  /** A machine as the cloud lists it. */
  public record Listed(
      String id, String type, String zone, boolean spot, String state, double ageS) {}

  /** A request to rent machines, under a name that is never used again. */
  public record RentRequest(String name, String type, String zone, boolean spot, int count) {}

  // ---- users --------------------------------------------------------------------------------
  /** Answer to a user: a status and either a state or a message. */
  public record UserAnswer(
      int status, String id, String state, int done, int running, String message, int retryAfterS) {
    static UserAnswer state(int status, String id, String state, int done, int running) {
      return new UserAnswer(status, id, state, done, running, null, 0);
    }

    static UserAnswer error(int status, String message) {
      return new UserAnswer(status, null, null, 0, 0, message, 0);
    }

    static UserAnswer later(String message, int retryAfterS) {
      return new UserAnswer(503, null, null, 0, 0, message, retryAfterS);
    }
  }

  // ---- between controllers ------------------------------------------------------------------
  /** Messages between controllers. */
  public sealed interface PeerMessage permits Roster, Starts, Stops {}

  /** One task as its owner knows it; {@code state} null: accepted, not yet seen on the machine. */
  public record RosterTask(String job, int task, long attempt, TaskState state, ExitReason why) {
    @Override
    public boolean equals(Object other) {
      return other instanceof RosterTask one
          && task == one.task
          && attempt == one.attempt
          && state == one.state
          && why == one.why
          && job.equals(one.job);
    }

    @Override
    public int hashCode() {
      return 31 * (31 * job.hashCode() + task) + Long.hashCode(attempt);
    }
  }

  /** The answer "not possible": this start was never passed on and never will be. */
  public record Refusal(String machine, String job, int task, long attempt, String reason) {
    /** The reason of an owner whose mirror lags: worth another try soon. */
    static final String JOB_NOT_KNOWN = "job not known here yet";
  }

  /**
   * One machine as its owner knows it. {@code version} is that of its record, {@code session} and
   * {@code seq} name the newest report behind this.
   */
  public record RosterMachine(
      String machine,
      String addr,
      long token,
      long version,
      long session,
      long seq,
      boolean confirmed,
      boolean usable,
      boolean draining,
      boolean replace,
      boolean silent,
      boolean lost,
      String type,
      String zone,
      boolean spot,
      double noticeS,
      double freeCpus,
      double freeGpus,
      double freeMemoryGb,
      long idleMs,
      List<String> images,
      List<RosterTask> tasks) {
    /** Whether both say the same, but for what drifts with time alone. */
    boolean sameAs(RosterMachine state) {
      return token == state.token
          && java.util.Objects.equals(addr, state.addr)
          && version == state.version
          && session == state.session
          && confirmed == state.confirmed
          && usable == state.usable
          && draining == state.draining
          && replace == state.replace
          && silent == state.silent
          && lost == state.lost
          && (noticeS < 0) == (state.noticeS < 0)
          && freeCpus == state.freeCpus
          && freeGpus == state.freeGpus
          && freeMemoryGb == state.freeMemoryGb
          && (idleMs == 0) == (state.idleMs == 0)
          && images.equals(state.images)
          && tasks.equals(state.tasks);
    }
  }

  /**
   * All that an owner knows of its machines, as of its statement {@code serial}, told as what has
   * changed since its statement {@code since} (0: told in full). {@code mirrorRevision} tells up to
   * which revision of the state service it has followed, {@code acked*} which of the receiver's
   * starts are in it, {@code heard*} the newest statement of the receiver that the sender has taken
   * in: the receiver's next one builds on that. {@code cancelled} names the jobs that the sender
   * knows to be cancelled since the revision that the receiver's mirror has reached.
   */
  public record Roster(
      String node,
      long incarnation,
      long serial,
      long since,
      long heardIncarnation,
      long heardSerial,
      long mirrorRevision,
      long ackedIncarnation,
      long ackedConnection,
      long ackedSeq,
      long sinceMirrorMs,
      List<String> cancelled,
      List<RosterMachine> machines,
      List<String> gone,
      List<Refusal> refusals)
      implements PeerMessage {}

  /** One attempt of a task. */
  public record TaskRef(String job, int task, long attempt) {}

  /** {@code instead}: lower tasks on that machine that are stopped to make room for this one. */
  public record StartOrder(
      String machine,
      String job,
      int task,
      long attempt,
      long epoch,
      long expiryWallMs,
      List<TaskRef> instead) {}

  /** Starts from a holder to an owner. */
  public record Starts(
      String node, long incarnation, long connection, long seq, List<StartOrder> starts)
      implements PeerMessage {}

  /** A holder's wish that a task be stopped. */
  public record StopOrder(String machine, String job, int task, long attempt, double graceS) {}

  /** Stops and drains from a holder, or from whoever has the cloud duty, to an owner. */
  public record Stops(String node, long incarnation, List<StopOrder> stops, List<String> drains)
      implements PeerMessage {}

  // ---- settings the core needs --------------------------------------------------------------
  /** A team's guarantee and limit; 0 is none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
    boolean limited() {
      return cpusMax > 0 || gpusMax > 0;
    }
  }

  /** What the core needs of the settings. */
  public record CoreSettings(
      String node,
      List<String> peers,
      Map<String, String> nodeZones,
      Map<String, Team> teams,
      long reportMs,
      long leaseMs,
      long cancelMs,
      long skewMs,
      double stateRps,
      double stateWriteRps,
      int txnOps,
      int valueBytes,
      double cloudRps,
      long listLagMs,
      Map<String, Double> lateTimes,
      int programVersion) {}
}

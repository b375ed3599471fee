package mallowstall.core.placement;

import java.util.List;

/** What a class of jobs may use and prefers: blocks tried in order (paper, section 2.2). */
public interface Policy {
  /** Facts on one pair of a machine and a job, whose tasks are alike. Mutable, reused. */
  final class Facts {
    /** s. Stands for a time that never comes. */
    public static final double NEVER_S = 1e9;

    public String zone;
    public String type;
    public String image;
    public boolean spot;
    public boolean locallyManaged;
    public boolean imagePresent;
    public boolean scarceType;
    public double freeCpus;
    public double freeGpus;
    public double freeMemoryGb;

    /** Fraction of the machine's processors in use. */
    public double cpuUtilization;

    /** Seconds until the image would be there. */
    public double fetchS;

    /** Seconds in which the machines that have the image could serve all tasks waiting for it. */
    public double drainS;

    /** The longest such time among the images that this machine has. */
    public double otherDrainS;

    /** The machine is reserved for urgent jobs. */
    public boolean reservedForUrgent;

    public double imageFetches;
    public double taskCpus;
    public double taskGpus;
    public double taskMemoryGb;

    /** Since submission, or since a task of the job was started last. */
    public double waitedS;

    /** Until a task must start for the job to meet its deadline; very much without one. */
    public double slackS;

    public double estimateS;
    public double priority;
    public double pendingTasks;
    public double price;

    /** The job is a service: its replicas run until it is cancelled. */
    public boolean service;
  }

  /** How a block orders its machines. */
  enum Strategy {
    LOWEST,
    HIGHEST,
    RANDOM
  }

  /** One step of a policy. */
  interface Block {
    /** Whether the block offers the machine. */
    boolean workers(Facts facts);

    /** Whether the machine is left out all the same. */
    boolean invalidate(Facts facts);

    /** How the machines are ordered. */
    Strategy strategy();

    /** What they are ordered by. */
    double score(Facts facts);
  }

  /** The steps, in the order in which they are tried. */
  List<Block> blocks();

  /** The name under which the backoff is kept. */
  String name();

  /** Policies by class of jobs. */
  interface PolicyRegistry {
    /** The policy of a class of jobs; that of the default class if it has none. */
    Policy forJobClass(String jobClass);
  }
}

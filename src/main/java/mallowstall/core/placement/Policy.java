package mallowstall.core.placement;

import java.util.List;

/**
 * The placement policy of a job class: blocks that are tried in order. A block selects and orders
 * the machines that a job may use (paper, section 2.2).
 */
public interface Policy {
  /**
   * The facts about a pair of a machine and a job. They hold for each task of the job, since its
   * tasks are alike. Mutable; {@link PolicyFacts} reuses one object for all pairs.
   */
  final class Facts {
    /** Stands for a time in seconds that is never reached. */
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

    /** Time in seconds until the machine would have the image; 0 if it has the image. */
    public double fetchS;

    /**
     * Time in seconds in which the machines that have the image could serve all queued tasks that
     * need the image.
     */
    public double drainS;

    /** Maximum {@link #drainS} of the other images that this machine has; 0 if there is none. */
    public double otherDrainS;

    /** Whether the machine is reserved for urgent jobs. */
    public boolean reservedForUrgent;

    public double imageFetches;
    public double taskCpus;
    public double taskGpus;
    public double taskMemoryGb;

    /**
     * Time in seconds since the job was submitted or, if that is later, since a task of the job was
     * last started.
     */
    public double waitedS;

    /**
     * Time in seconds until a task must start for the job to meet its deadline; {@link #NEVER_S} if
     * the job has no deadline.
     */
    public double slackS;

    public double estimateS;
    public double priority;
    public double pendingTasks;
    public double price;

    /** Whether the job is a service, whose replicas run until the job is cancelled. */
    public boolean service;
  }

  /** How a block orders its machines: by lowest score, by highest score or at random. */
  enum Strategy {
    LOWEST,
    HIGHEST,
    RANDOM
  }

  /**
   * One step of a policy. The methods {@link #workers} and {@link #invalidate} have the names of
   * their clauses in the policy language.
   */
  interface Block {
    /** Returns whether the block selects the machine. */
    boolean workers(Facts facts);

    /** Returns whether the block excludes a machine that {@link #workers} selects. */
    boolean invalidate(Facts facts);

    /** Returns how the block orders its machines. */
    Strategy strategy();

    /** Returns the score by which machines are ordered, unless the strategy is random. */
    double score(Facts facts);
  }

  /** Returns the blocks, in the order in which they are tried. */
  List<Block> blocks();

  /** Returns the name; batch jobs with policies of the same name share one backoff. */
  String name();

  /** The policies by job class. */
  interface PolicyRegistry {
    /** Returns the policy of the job class, or of the default class if the class has none. */
    Policy forJobClass(String jobClass);
  }
}

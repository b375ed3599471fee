package mallowstall.core;

/** One task of a job, whatever the attempt. */
record TaskKey(String job, int task) {}

package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;

import java.util.function.Consumer;
import mallowstall.core.model.ApiResponse;

/** The requests that users send about the job of a {@link ForcedHistory}. */
enum UserRequest {
  SUBMISSION,
  QUERY,
  CANCELLATION,
  MALFORMED_SUBMISSION,
  IMPOSSIBLE_SUBMISSION;

  /** Timeouts of the users in milliseconds: for queries, and for all other requests. */
  private static final long QUERY_TIMEOUT_MS = 2_000;

  private static final long CHANGE_TIMEOUT_MS = 5_000;

  /** Returns the user's timeout in milliseconds. The user receives no answer that arrives later. */
  long timeoutMs() {
    return this == QUERY ? QUERY_TIMEOUT_MS : CHANGE_TIMEOUT_MS;
  }

  void send(ControllerCore core, Consumer<ApiResponse> reply) {
    String job = ForcedHistory.JOB;
    switch (this) {
      case SUBMISSION -> core.submit(ForcedHistory.job(), reply);
      case QUERY -> core.query(job, reply);
      case CANCELLATION -> core.cancel(job, reply);
      case MALFORMED_SUBMISSION -> core.rejectSubmission(job, "a field is missing", reply);
      case IMPOSSIBLE_SUBMISSION -> core.submit(batchJob(job).tasks(1).cpus(99).build(), reply);
    }
  }
}

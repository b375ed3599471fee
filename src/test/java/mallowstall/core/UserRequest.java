package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;

import java.util.function.Consumer;
import mallowstall.core.model.ApiResponse;

/** What users ask of a controller about the job of a {@link ForcedHistory}. */
enum UserRequest {
  SUBMISSION,
  QUERY,
  CANCELLATION,
  MALFORMED_SUBMISSION,
  IMPOSSIBLE_SUBMISSION;

  /** ms. Users wait so long for an answer to a query, and for one to anything else. */
  private static final long QUERY_TIMEOUT_MS = 2_000;

  private static final long CHANGE_TIMEOUT_MS = 5_000;

  /** The user has given up so many ms after the request, and gets no answer that comes later. */
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

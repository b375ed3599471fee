package mallowstall.core.api;

import java.util.function.Consumer;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobSpec;

/**
 * What users ask of a controller (protocol, Users). To be called on the event loop; each reply is
 * given exactly once, there too, at once or later.
 */
public interface UserRequests {
  /** A user has submitted a job. */
  void submit(JobSpec spec, Consumer<ApiResponse> reply);

  /** A submission that is wrong by itself, unless a controller of another version accepted it. */
  void rejectSubmission(String id, String reason, Consumer<ApiResponse> reply);

  /** A user asks for a job's state. */
  void query(String id, Consumer<ApiResponse> reply);

  /** A user cancels a job. */
  void cancel(String id, Consumer<ApiResponse> reply);
}

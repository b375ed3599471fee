package mallowstall.core;

import java.util.HashMap;
import java.util.Map;
import mallowstall.core.Model.JobRec;

/** Sizes of container images, as the jobs that use them state. Mutable. */
final class ImageSizes {
  private static final double UNKNOWN_GB = 1.0;

  private final Map<String, Double> gigabytes = new HashMap<>();

  /** A job's entry has changed; {@code before} is null if it is new. */
  void jobChanged(JobRec before, JobRec after) {
    gigabytes.put(after.spec().image(), after.spec().imageGb());
  }

  /** The image's size in GB; one GB if no job has stated it. */
  double gigabytes(String image) {
    return gigabytes.getOrDefault(image, UNKNOWN_GB);
  }
}

package mallowstall.core.machines;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Images that a machine has most likely cached: a guess from the tasks that ran there, since
 * heartbeats don't name images. Mutable.
 */
final class ImageCache {
  private final double capacityGb;

  /** Least recently used first. */
  private final LinkedHashSet<String> images = new LinkedHashSet<>();

  ImageCache(double capacityGb) {
    this.capacityGb = capacityGb;
  }

  /** Adds images that were cached under the machine's previous leader, oldest first. */
  void addAll(Collection<String> cached) {
    images.addAll(cached);
  }

  /** Makes the image the most recently used and evicts the oldest ones beyond the capacity. */
  void use(String image, ToDoubleFunction<String> sizeGb) {
    if (image == null) {
      return;
    }
    images.remove(image);
    images.add(image);
    List<String> newestFirst = new ArrayList<>(images);
    Collections.reverse(newestFirst);
    double totalGb = 0;
    for (String cached : newestFirst) {
      totalGb += sizeGb.applyAsDouble(cached);
      if (totalGb > capacityGb && !cached.equals(image)) {
        images.remove(cached);
      }
    }
  }

  /** The cached images, least recently used first; an immutable copy. */
  List<String> toList() {
    return List.copyOf(images);
  }
}

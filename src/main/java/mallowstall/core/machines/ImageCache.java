package mallowstall.core.machines;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * An estimate of the images that a machine has cached. It is based on the tasks that ran on the
 * machine, since heartbeats don't list images. Mutable.
 */
final class ImageCache {
  private final double capacityGb;

  /** The cached images, least recently used first. */
  private final LinkedHashSet<String> images = new LinkedHashSet<>();

  ImageCache(double capacityGb) {
    this.capacityGb = capacityGb;
  }

  /** Adds images cached under the machine's previous leader, least recently used first. */
  void addAll(Collection<String> cached) {
    images.addAll(cached);
  }

  /** Marks the image as most recently used and evicts the oldest ones beyond the capacity. */
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

  /** Returns an immutable copy of the cached images, least recently used first. */
  List<String> toList() {
    return List.copyOf(images);
  }
}

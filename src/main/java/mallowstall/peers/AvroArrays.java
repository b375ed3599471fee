package mallowstall.peers;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;

/** Writes and reads lists as arrays of Avro's binary encoding. */
final class AvroArrays {
  /** Writes one element of an array. */
  interface ElementWriter<T> {
    void write(BinaryEncoder encoder, T value) throws IOException;
  }

  /** Reads one element of an array. */
  interface ElementReader<T> {
    T read(BinaryDecoder decoder) throws IOException;
  }

  private AvroArrays() {}

  /** Writes the values as an Avro array of one block. */
  static <T> void writeList(BinaryEncoder encoder, List<T> values, ElementWriter<T> element)
      throws IOException {
    encoder.writeArrayStart();
    encoder.setItemCount(values.size());
    for (T value : values) {
      encoder.startItem();
      element.write(encoder, value);
    }
    encoder.writeArrayEnd();
  }

  /** Reads an Avro array with any number of blocks. */
  static <T> List<T> readList(BinaryDecoder decoder, ElementReader<T> element) throws IOException {
    List<T> out = new ArrayList<>();
    for (long n = decoder.readArrayStart(); n != 0; n = decoder.arrayNext()) {
      for (long i = 0; i < n; i++) {
        out.add(element.read(decoder));
      }
    }
    return out;
  }
}

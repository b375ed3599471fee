package mallowstall.json;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import java.io.IOException;
import java.util.List;

/** Writes JSON documents with Jackson's streaming generator. */
public final class JsonWriter {
  /** Writes the content of a document. */
  public interface Content {
    /** Writes it. */
    void write(JsonGenerator out) throws IOException;
  }

  /** Writes one element of a list. */
  public interface Element<T> {
    /** Writes it. */
    void write(JsonGenerator out, T value) throws IOException;
  }

  private JsonWriter() {}

  /** The document as it is sent. */
  public static byte[] document(Content content) {
    try (ByteArrayBuilder bytes = new ByteArrayBuilder();
        JsonGenerator out = JsonReader.FACTORY.createGenerator(bytes)) {
      content.write(out);
      out.flush();
      return bytes.toByteArray();
    } catch (IOException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /** A document of one object, whose fields the content writes. */
  public static byte[] object(Content fields) {
    return document(
        out -> {
          out.writeStartObject();
          fields.write(out);
          out.writeEndObject();
        });
  }

  /** A field with a list of these; null if there is none. */
  public static <T> void list(JsonGenerator out, String field, List<T> values, Element<T> element)
      throws IOException {
    out.writeFieldName(field);
    if (values == null) {
      out.writeNull();
      return;
    }
    out.writeStartArray();
    for (T value : values) {
      element.write(out, value);
    }
    out.writeEndArray();
  }

  /** A field with a list of texts; null if there is none. */
  public static void strings(JsonGenerator out, String field, List<String> values)
      throws IOException {
    list(out, field, values, JsonGenerator::writeString);
  }

  /** A field with a number, or null. */
  public static void doubleOrNull(JsonGenerator out, String field, Double value)
      throws IOException {
    if (value == null) {
      out.writeNullField(field);
    } else {
      out.writeNumberField(field, value);
    }
  }
}

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects as maps, whole numbers as Long, others as Double. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.space();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("more than one value");
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  /** Returns an object of names and values in turn. */
  static Map<String, Object> of(Object... namesAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      map.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return map;
  }

  private void space() {
    while (at < text.length() && text.charAt(at) <= ' ') {
      at++;
    }
  }

  private char peek() {
    space();
    if (at >= text.length()) {
      throw new IllegalArgumentException("end of text");
    }
    return text.charAt(at);
  }

  private void expect(char c) {
    if (peek() != c) {
      throw new IllegalArgumentException("expected " + c + " at " + at);
    }
    at++;
  }

  private Object value() {
    switch (peek()) {
      case '{':
        {
          Map<String, Object> map = new LinkedHashMap<>();
          at++;
          if (peek() == '}') {
            at++;
            return map;
          }
          while (true) {
            String name = string();
            expect(':');
            map.put(name, value());
            if (peek() == ',') {
              at++;
              peek();
              continue;
            }
            expect('}');
            return map;
          }
        }
      case '[':
        {
          List<Object> list = new ArrayList<>();
          at++;
          if (peek() == ']') {
            at++;
            return list;
          }
          while (true) {
            list.add(value());
            if (peek() == ',') {
              at++;
              continue;
            }
            expect(']');
            return list;
          }
        }
      case '"':
        return string();
      case 't':
        return word("true", true);
      case 'f':
        return word("false", false);
      case 'n':
        return word("null", null);
      default:
        return number();
    }
  }

  private Object word(String word, Object value) {
    if (!text.startsWith(word, at)) {
      throw new IllegalArgumentException("bad word at " + at);
    }
    at += word.length();
    return value;
  }

  private Object number() {
    int from = at;
    while (at < text.length() && "+-.0123456789eE".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    String number = text.substring(from, at);
    if (number.matches("-?[0-9]+")) {
      return Long.parseLong(number);
    }
    return Double.parseDouble(number);
  }

  private String string() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (true) {
      char c = text.charAt(at++);
      if (c == '"') {
        return out.toString();
      }
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char e = text.charAt(at++);
      switch (e) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(e);
      }
    }
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String separator = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        write(entry.getKey(), out);
        out.append(':');
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      String separator = "";
      for (Object element : list) {
        out.append(separator);
        write(element, out);
        separator = ",";
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (char c : string.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }
}

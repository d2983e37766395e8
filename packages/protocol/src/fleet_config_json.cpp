/// JSON codec of the fleet configuration.
#include "marjorambay/protocol/fleet_config_json.h"

#include "marjorambay/protocol/json_text.h"
#include "marjorambay/state/config_fields.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <concepts>
#include <limits>
#include <string>
#include <type_traits>
#include <vector>

namespace marjorambay {

namespace {

using Json = nlohmann::ordered_json;

/// Records the first problem of a document, with the path of its key.
struct FirstProblem {
  std::string Text{};

  bool found() const { return !Text.empty(); }
  void report(const std::string &Path, const std::string &Message) {
    if (!found())
      Text = (Path.empty() ? "document" : Path) + ": " + Message;
  }
};

template <typename ConfigType>
void readObject(const Json &Value, ConfigType &Config, const std::string &Path,
                FirstProblem &Problem);

void readValue(const Json &Value, std::string &Field, const std::string &Path,
               FirstProblem &Problem) {
  if (!Value.is_string())
    return Problem.report(Path, "must be a string");
  Field = Value.get_ref<const std::string &>();
}

void readValue(const Json &Value, bool &Field, const std::string &Path,
               FirstProblem &Problem) {
  if (!Value.is_boolean())
    return Problem.report(Path, "must be true or false");
  Field = Value.get<bool>();
}

void readValue(const Json &Value, double &Field, const std::string &Path,
               FirstProblem &Problem) {
  if (!Value.is_number())
    return Problem.report(Path, "must be a number");
  Field = Value.get<double>();
}

/// Reads an unsigned integer up to \p Max.
std::uint64_t readUnsigned(const Json &Value, std::uint64_t Max,
                           const std::string &Path, FirstProblem &Problem) {
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() > Max) {
    Problem.report(Path,
                   "must be a whole number from 0 to " + std::to_string(Max));
    return 0;
  }
  return Value.get<std::uint64_t>();
}

void readValue(const Json &Value, std::uint32_t &Field, const std::string &Path,
               FirstProblem &Problem) {
  constexpr auto Max = std::numeric_limits<std::uint32_t>::max();
  Field = static_cast<std::uint32_t>(readUnsigned(Value, Max, Path, Problem));
}

void readValue(const Json &Value, TierRank &Field, const std::string &Path,
               FirstProblem &Problem) {
  Field =
      static_cast<TierRank>(readUnsigned(Value, MaxTiers - 1, Path, Problem));
}

void readValue(const Json &Value, Revision &Field, const std::string &Path,
               FirstProblem &Problem) {
  constexpr std::uint64_t Max = std::numeric_limits<std::int64_t>::max();
  Field = static_cast<Revision>(readUnsigned(Value, Max, Path, Problem));
}

constexpr std::uint64_t MaxTimeMs = std::uint64_t(1) << 50;

void readValue(const Json &Value, Duration &Field, const std::string &Path,
               FirstProblem &Problem) {
  Field = milliseconds(readUnsigned(Value, MaxTimeMs, Path, Problem));
}

void readValue(const Json &Value, WallTime &Field, const std::string &Path,
               FirstProblem &Problem) {
  Field = WallTime(milliseconds(readUnsigned(Value, MaxTimeMs, Path, Problem)));
}

template <typename EnumType>
requires std::is_enum_v<EnumType>
void readValue(const Json &Value, EnumType &Field, const std::string &Path,
               FirstProblem &Problem) {
  if (Value.is_string())
    if (auto Parsed = parseEnum<EnumType>(Value.get_ref<const std::string &>()))
      return void(Field = *Parsed);
  std::string Names;
  for (std::string_view Name : NamesOf<EnumType>)
    Names += (Names.empty() ? "" : ", ") + std::string(Name);
  Problem.report(Path, "must be one of " + Names);
}

void readValue(const Json &Value, FleetDefaults &Field, const std::string &Path,
               FirstProblem &Problem) {
  readObject(Value, Field, Path, Problem);
}

template <typename Element>
void readValue(const Json &Value, std::vector<Element> &Field,
               const std::string &Path, FirstProblem &Problem) {
  if (!Value.is_array())
    return Problem.report(Path, "must be an array");
  Field.clear();
  Field.reserve(Value.size());
  for (std::size_t Index = 0; Index < Value.size() && !Problem.found();
       ++Index) {
    const std::string ItemPath = Path + "[" + std::to_string(Index) + "]";
    Element &Item = Field.emplace_back();
    if constexpr (std::same_as<Element, std::string>)
      readValue(Value[Index], Item, ItemPath, Problem);
    else
      readObject(Value[Index], Item, ItemPath, Problem);
  }
}

/// Reads the fields of a JSON object and counts them; if the object has more
/// entries than were read, some of its keys are unknown.
struct FieldReader {
  const Json &Object;
  const std::string &Path;
  FirstProblem &Problem;
  std::vector<std::string_view> KnownKeys{};
  std::size_t ReadCount = 0;

  template <typename T> void operator()(const char *Key, T &Field) {
    KnownKeys.emplace_back(Key);
    const auto Found = Object.find(Key);
    if (Found == Object.end() || Problem.found())
      return;
    ++ReadCount;
    readValue(*Found, Field, Path.empty() ? Key : Path + "." + Key, Problem);
  }
  template <typename T>
  void operator()(const char *Key, T &Field, FieldRange /*Range*/) {
    (*this)(Key, Field);
  }
};

void reportUnknownKey(const FieldReader &Reader) {
  for (const auto &Item : Reader.Object.items()) {
    bool IsKnown = false;
    for (std::string_view Key : Reader.KnownKeys)
      IsKnown = IsKnown || Key == Item.key();
    if (!IsKnown)
      Reader.Problem.report(
          Reader.Path.empty() ? Item.key() : Reader.Path + "." + Item.key(),
          "unknown key");
  }
}

template <typename ConfigType>
void readObject(const Json &Value, ConfigType &Config, const std::string &Path,
                FirstProblem &Problem) {
  if (!Value.is_object())
    return Problem.report(Path, "must be an object");
  FieldReader Reader{Value, Path, Problem};
  visitFields(Reader, Config);
  if (Reader.ReadCount != Value.size())
    reportUnknownKey(Reader);
}

// ---- Printing ---------------------------------------------------------------

Json jsonOf(const std::string &Value) { return Value; }
Json jsonOf(bool Value) { return Value; }
Json jsonOf(double Value) { return Value; }
Json jsonOf(std::uint32_t Value) { return Value; }
Json jsonOf(TierRank Value) { return number(Value); }
Json jsonOf(Duration Value) {
  return std::chrono::duration_cast<milliseconds>(Value).count();
}
Json jsonOf(WallTime Value) { return jsonOf(Value.time_since_epoch()); }
Json jsonOf(const std::vector<std::string> &Value) { return Value; }
template <typename EnumType>
requires std::is_enum_v<EnumType> Json jsonOf(EnumType Value) {
  return std::string(nameOf(Value));
}

struct FieldPrinter {
  Json Object = Json::object();

  template <typename T> void operator()(const char *Key, const T &Field) {
    Object[Key] = jsonOf(Field);
  }
  template <typename T>
  void operator()(const char *Key, const T &Field, FieldRange /*Range*/) {
    Object[Key] = jsonOf(Field);
  }
};

template <typename ConfigType> std::string printEntry(const ConfigType &Entry) {
  FieldPrinter Printer;
  visitFields(Printer, Entry);
  return Printer.Object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Prints the top level without the JSON library, to put one entry on a line.
struct DocumentPrinter {
  std::string Text = "{";

  void key(const char *Key) {
    Text += Text.size() > 1 ? ",\n\"" : "\n\"";
    Text += Key;
    Text += "\": ";
  }
  void operator()(const char *Key, Revision Rev) {
    key(Key);
    Text += std::to_string(number(Rev));
  }
  void operator()(const char *Key, const FleetDefaults &Defaults) {
    key(Key);
    Text += printEntry(Defaults);
  }
  template <typename Element>
  void operator()(const char *Key, const std::vector<Element> &Entries) {
    key(Key);
    Text += "[";
    for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
      Text += Index == 0 ? "\n  " : ",\n  ";
      Text += printEntry(Entries[Index]);
    }
    Text += "]";
  }
};

} // namespace

Result<FleetConfig> parseFleetConfig(std::string_view Text) {
  const Json Document = parseJson<Json>(Text);
  if (Document.is_discarded())
    return Error{ErrorKind::BadConfig, "document: not JSON"};
  FleetConfig Config;
  FirstProblem Problem;
  readObject(Document, Config, "", Problem);
  if (Problem.found())
    return Error{ErrorKind::BadConfig, Problem.Text};
  return Config;
}

std::string printFleetConfig(const FleetConfig &Config) {
  DocumentPrinter Printer;
  visitFields(Printer, Config);
  return Printer.Text + "\n}\n";
}

} // namespace marjorambay

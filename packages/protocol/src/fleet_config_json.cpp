/// Reads and prints the JSON document of the fleet configuration.
#include "marjorambay/protocol/fleet_config_json.h"

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

/// Collects the first problem of a document, with the path of its key.
struct Problem {
  std::string Text{};

  bool found() const { return !Text.empty(); }
  void report(const std::string &Path, const std::string &What) {
    if (!found())
      Text = (Path.empty() ? "document" : Path) + ": " + What;
  }
};

template <typename ConfigType>
void readObject(const Json &Value, ConfigType &Config, const std::string &Path,
                Problem &Bad);

void readValue(const Json &Value, std::string &Field, const std::string &Path,
               Problem &Bad) {
  if (!Value.is_string())
    return Bad.report(Path, "must be a string");
  Field = Value.get_ref<const std::string &>();
}

void readValue(const Json &Value, bool &Field, const std::string &Path,
               Problem &Bad) {
  if (!Value.is_boolean())
    return Bad.report(Path, "must be true or false");
  Field = Value.get<bool>();
}

void readValue(const Json &Value, double &Field, const std::string &Path,
               Problem &Bad) {
  if (!Value.is_number())
    return Bad.report(Path, "must be a number");
  Field = Value.get<double>();
}

/// Reads a whole number from 0 to \p Max.
std::uint64_t readWhole(const Json &Value, std::uint64_t Max,
                        const std::string &Path, Problem &Bad) {
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() > Max) {
    Bad.report(Path, "must be a whole number from 0 to " + std::to_string(Max));
    return 0;
  }
  return Value.get<std::uint64_t>();
}

void readValue(const Json &Value, std::uint32_t &Field, const std::string &Path,
               Problem &Bad) {
  constexpr auto Max = std::numeric_limits<std::uint32_t>::max();
  Field = static_cast<std::uint32_t>(readWhole(Value, Max, Path, Bad));
}

void readValue(const Json &Value, TierRank &Field, const std::string &Path,
               Problem &Bad) {
  Field = static_cast<TierRank>(readWhole(Value, MaxTiers - 1, Path, Bad));
}

void readValue(const Json &Value, Revision &Field, const std::string &Path,
               Problem &Bad) {
  constexpr std::uint64_t Max = std::numeric_limits<std::int64_t>::max();
  Field = static_cast<Revision>(readWhole(Value, Max, Path, Bad));
}

constexpr std::uint64_t MaxTimeMs = std::uint64_t(1) << 50;

void readValue(const Json &Value, Duration &Field, const std::string &Path,
               Problem &Bad) {
  Field = milliseconds(readWhole(Value, MaxTimeMs, Path, Bad));
}

void readValue(const Json &Value, WallTime &Field, const std::string &Path,
               Problem &Bad) {
  Field = WallTime(milliseconds(readWhole(Value, MaxTimeMs, Path, Bad)));
}

template <typename EnumType>
requires std::is_enum_v<EnumType>
void readValue(const Json &Value, EnumType &Field, const std::string &Path,
               Problem &Bad) {
  if (Value.is_string())
    if (auto Parsed = parseEnum<EnumType>(Value.get_ref<const std::string &>()))
      return void(Field = *Parsed);
  std::string Names;
  for (std::string_view Name : NamesOf<EnumType>)
    Names += (Names.empty() ? "" : ", ") + std::string(Name);
  Bad.report(Path, "must be one of " + Names);
}

void readValue(const Json &Value, FleetDefaults &Field, const std::string &Path,
               Problem &Bad) {
  readObject(Value, Field, Path, Bad);
}

template <typename Element>
void readValue(const Json &Value, std::vector<Element> &Field,
               const std::string &Path, Problem &Bad) {
  if (!Value.is_array())
    return Bad.report(Path, "must be an array");
  Field.clear();
  Field.reserve(Value.size());
  for (std::size_t Index = 0; Index < Value.size() && !Bad.found(); ++Index) {
    const std::string ItemPath = Path + "[" + std::to_string(Index) + "]";
    Element &Item = Field.emplace_back();
    if constexpr (std::same_as<Element, std::string>)
      readValue(Value[Index], Item, ItemPath, Bad);
    else
      readObject(Value[Index], Item, ItemPath, Bad);
  }
}

/// Reads the fields that a JSON object holds and counts them, so that unknown
/// keys show as a difference in number.
struct FieldReader {
  const Json &Object;
  const std::string &Path;
  Problem &Bad;
  std::vector<std::string_view> Known{};
  std::size_t Read = 0;

  template <typename T> void operator()(const char *Key, T &Field) {
    Known.emplace_back(Key);
    const auto Found = Object.find(Key);
    if (Found == Object.end() || Bad.found())
      return;
    ++Read;
    readValue(*Found, Field, Path.empty() ? Key : Path + "." + Key, Bad);
  }
  template <typename T>
  void operator()(const char *Key, T &Field, FieldRange /*Range*/) {
    (*this)(Key, Field);
  }
};

void reportUnknownKey(const FieldReader &Reader) {
  for (const auto &Item : Reader.Object.items()) {
    bool IsKnown = false;
    for (std::string_view Key : Reader.Known)
      IsKnown = IsKnown || Key == Item.key();
    if (!IsKnown)
      Reader.Bad.report(Reader.Path.empty() ? Item.key()
                                            : Reader.Path + "." + Item.key(),
                        "unknown key");
  }
}

template <typename ConfigType>
void readObject(const Json &Value, ConfigType &Config, const std::string &Path,
                Problem &Bad) {
  if (!Value.is_object())
    return Bad.report(Path, "must be an object");
  FieldReader Reader{Value, Path, Bad};
  visitFields(Reader, Config);
  if (Reader.Read != Value.size())
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

/// Prints the top level by hand, to have one entry a line.
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
  const Json Document =
      Json::parse(Text, /*cb=*/nullptr, /*allow_exceptions=*/false);
  if (Document.is_discarded())
    return Error{ErrorKind::BadConfig, "document: not JSON"};
  FleetConfig Config;
  Problem Bad;
  readObject(Document, Config, "", Bad);
  if (Bad.found())
    return Error{ErrorKind::BadConfig, Bad.Text};
  return Config;
}

std::string printFleetConfig(const FleetConfig &Config) {
  DocumentPrinter Printer;
  visitFields(Printer, Config);
  return Printer.Text + "\n}\n";
}

} // namespace marjorambay

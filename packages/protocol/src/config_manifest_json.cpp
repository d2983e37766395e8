/// JSON codec of the manifest of the fleet configuration.
#include "marjorambay/protocol/config_manifest_json.h"

#include "marjorambay/protocol/json_text.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <cstdio>
#include <limits>
#include <optional>

namespace marjorambay {

namespace {

using Json = nlohmann::ordered_json;

constexpr int ManifestFormat = 1;

Error badManifest(const std::string &Problem) {
  return Error{ErrorKind::BadConfig, "manifest: " + Problem};
}

std::string printHex(std::uint64_t Value) {
  std::array<char, 24> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx",
                static_cast<unsigned long long>(Value));
  return Text.data();
}

std::optional<std::uint64_t> readHex(const Json &Entry, const char *Key) {
  const auto Found = Entry.find(Key);
  if (Found == Entry.end() || !Found->is_string())
    return std::nullopt;
  const auto &Text = Found->get_ref<const std::string &>();
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value, 16);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

std::optional<std::uint64_t> readNumber(const Json &Entry, const char *Key) {
  const auto Found = Entry.find(Key);
  if (Found == Entry.end() || !Found->is_number_unsigned())
    return std::nullopt;
  return Found->get<std::uint64_t>();
}

/// Calls \p Read with each object of the array \p Key. Returns false if an
/// entry is invalid.
template <typename Function>
bool forEachEntry(const Json &Object, const char *Key, Function Read) {
  const auto Found = Object.find(Key);
  if (Found == Object.end())
    return true;
  if (!Found->is_array())
    return false;
  for (const Json &Entry : *Found)
    if (!Entry.is_object() || !Read(Entry))
      return false;
  return true;
}

bool readPart(const Json &Entry, ConfigManifest &Manifest) {
  const auto Digest = readHex(Entry, "digest");
  const auto Size = readNumber(Entry, "size");
  constexpr std::uint64_t MaxSize = std::numeric_limits<std::uint32_t>::max();
  if (!Digest || !Size || *Size > MaxSize)
    return false;
  Manifest.Parts.push_back({*Digest, static_cast<std::uint32_t>(*Size)});
  return true;
}

bool readRecord(const Json &Entry, ConfigManifest &Manifest) {
  const auto Id = readHex(Entry, "id");
  const auto Base = readNumber(Entry, "base");
  if (!Id || !Base)
    return false;
  Manifest.RecentProposals.push_back({*Id, static_cast<Revision>(*Base)});
  return true;
}

} // namespace

Result<ConfigManifest> parseConfigManifest(std::string_view Bytes) {
  const Json Object = parseJson<Json>(Bytes);
  if (!Object.is_object())
    return badManifest("not a JSON object");
  ConfigManifest Manifest;
  if (!Object.contains("manifest")) {
    Manifest.Document = Bytes;
    return Manifest;
  }
  if (readNumber(Object, "manifest") != ManifestFormat)
    return badManifest("unsupported format number");
  if (!forEachEntry(Object, "parts", [&](const Json &Entry) {
        return readPart(Entry, Manifest);
      }))
    return badManifest("invalid entry in parts");
  if (!forEachEntry(Object, "recent", [&](const Json &Entry) {
        return readRecord(Entry, Manifest);
      }))
    return badManifest("invalid entry in recent");
  const auto Document = Object.find("document");
  const bool HasDocument = Document != Object.end() && Document->is_string();
  if (HasDocument == !Manifest.Parts.empty())
    return badManifest("must have either a document or parts");
  if (HasDocument)
    Manifest.Document = Document->get_ref<const std::string &>();
  return Manifest;
}

std::string printConfigManifest(const ConfigManifest &Manifest) {
  Json Object = Json::object();
  Object["manifest"] = ManifestFormat;
  Object["recent"] = Json::array();
  for (const ProposalRecord &Record : Manifest.RecentProposals)
    Object["recent"].push_back(
        {{"id", printHex(Record.Id)}, {"base", number(Record.Base)}});
  if (Manifest.Parts.empty())
    Object["document"] = Manifest.Document;
  else
    Object["parts"] = Json::array();
  for (const ConfigPart &Part : Manifest.Parts)
    Object["parts"].push_back(
        {{"digest", printHex(Part.Digest)}, {"size", Part.Size}});
  return Object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace marjorambay

/// Paths and response bodies of the platform's object API.
#include "marjorambay/protocol/platform_api.h"

#include "marjorambay/protocol/json_text.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace marjorambay {

namespace {

using Json = nlohmann::json;

std::string stringField(const Json &Root, const char *Name) {
  const auto Found = Root.find(Name);
  if (Found == Root.end() || !Found->is_string())
    return "";
  return Found->get<std::string>();
}

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '.' ||
         C == '_' || C == '-';
}

} // namespace

bool isObjectName(std::string_view Name) {
  char Last = '/';
  for (const char C : Name) {
    if (C == '/' && Last == '/')
      return false;
    if (C != '/' && !isNameCharacter(C))
      return false;
    Last = C;
  }
  return Last != '/';
}

std::string objectPath(std::string_view Name) {
  return "/v1/objects/" + std::string(Name);
}

std::string watchPath(std::string_view Name, std::uint64_t Above,
                      Duration Wait) {
  const auto WaitMs = std::chrono::duration_cast<milliseconds>(Wait).count();
  return objectPath(Name) + "?watch=" + std::to_string(Above) +
         "&wait_ms=" + std::to_string(WaitMs);
}

std::uint64_t parseObjectVersion(std::string_view Header) {
  std::uint64_t Version = 0;
  const char *End = Header.data() + Header.size();
  const auto [At, Failure] = std::from_chars(Header.data(), End, Version);
  return Failure == std::errc() && At == End ? Version : 0;
}

Result<std::vector<PlatformHost>> parseHosts(std::string_view Text) {
  const Json Root = parseJson<Json>(Text);
  const bool IsObject = !Root.is_discarded() && Root.is_object();
  if (!IsObject || !Root.contains("hosts") || !Root["hosts"].is_array())
    return Error{ErrorKind::PlatformUnavailable,
                 "the host list is not a JSON object with an array \"hosts\""};
  std::vector<PlatformHost> Hosts;
  for (const Json &Host : Root["hosts"]) {
    if (!Host.is_object())
      continue;
    Hosts.push_back({stringField(Host, "name"), stringField(Host, "address"),
                     stringField(Host, "zone"), stringField(Host, "region"),
                     stringField(Host, "state") == "leaving"});
  }
  return Hosts;
}

} // namespace marjorambay

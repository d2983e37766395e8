/// Faults that a stand-in is told to have, at run time.
#ifndef MARJORAMBAY_STANDINS_FAULTS_H
#define MARJORAMBAY_STANDINS_FAULTS_H

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace marjorambay::standins {

using Json = nlohmann::json;

/// The set of active faults, each with the JSON object that switched it on:
///   {"fault": "slow", "ms": 500}            on until switched off
///   {"fault": "break_stream", "count": 3}   on for the next three times
///   {"fault": "slow", "on": false}          off;  {"fault": "none"}: all off
class Faults {
public:
  void set(const Json &Order) {
    const std::string Name = Order.value("fault", "none");
    if (Name == "none")
      return Active.clear();
    if (!Order.value("on", true)) {
      Active.erase(Name);
      return;
    }
    Active[Name] = Order;
  }

  bool has(const std::string &Name) const { return Active.contains(Name); }

  /// As has(), and uses up one of its "count" times.
  bool take(const std::string &Name) {
    const auto Found = Active.find(Name);
    if (Found == Active.end())
      return false;
    if (!Found->second.contains("count"))
      return true;
    const int Left = Found->second["count"].get<int>() - 1;
    Found->second["count"] = Left;
    if (Left <= 0)
      Active.erase(Found);
    return Left >= 0;
  }

  /// Returns the field \p Key of an active fault, else \p Default.
  template <typename T>
  T value(const std::string &Name, const char *Key, T Default) const {
    const auto Found = Active.find(Name);
    return Found == Active.end() ? Default : Found->second.value(Key, Default);
  }

private:
  std::map<std::string, Json> Active{};
};

} // namespace marjorambay::standins

#endif // MARJORAMBAY_STANDINS_FAULTS_H

/// Tests of the lookups of forwarded routes.
#include "marjorambay/state/forwarding_config.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

ForwardRoute route(std::string Name, std::string Host, std::string Prefix,
                   std::uint32_t Priority = 0) {
  ForwardRoute Made;
  Made.Name = std::move(Name);
  Made.Host = std::move(Host);
  Made.PathPrefix = std::move(Prefix);
  Made.Priority = Priority;
  return Made;
}

ForwardAccount account(std::string Name, std::string Key,
                       std::optional<std::uint32_t> Priority = {}) {
  ForwardAccount Made;
  Made.Name = std::move(Name);
  Made.Id = idOf<AccountId>(Made.Name);
  Made.Keys = {std::move(Key)};
  Made.Priority = Priority;
  return Made;
}

TEST_CASE("a table of routes") {
  ForwardConfig Config;
  Config.Version = 7;
  Config.Routes = {
      route("all", "a.example", "/"), route("inner", "a.example", "/x/"),
      route("deep", "A.example", "/x/y/"), route("other", "b.example", "/x/")};
  Config.Accounts = {account("one", "key-1")};
  const ForwardTable Table(Config);

  SUBCASE("takes the longest prefix that begins the path") {
    CHECK(Table.match("a.example", "/x/y/z")->Name == "deep");
    CHECK(Table.match("a.example", "/x/z")->Name == "inner");
    CHECK(Table.match("a.example", "/other")->Name == "all");
  }
  SUBCASE("a prefix ends at its slash") {
    CHECK(Table.match("b.example", "/xy") == nullptr);
    CHECK(Table.match("b.example", "/x") == nullptr);
  }
  SUBCASE("hosts are compared without case and port") {
    CHECK(Table.match("B.Example:8080", "/x/")->Name == "other");
    CHECK(Table.match("c.example", "/x/") == nullptr);
  }
  SUBCASE("keys lead to accounts") {
    CHECK(Table.accountByKey("key-1")->Name == "one");
    CHECK(Table.accountByKey("key-2") == nullptr);
    CHECK(Table.accountByKey("") == nullptr);
  }
}

TEST_CASE("tiers of accounts and routes") {
  ForwardConfig Config;
  Config.Routes = {route("first", "a", "/1/", 0), route("last", "a", "/2/", 2)};
  Config.Accounts = {account("high", "h", 0), account("low", "l", 1)};
  const ForwardTable Table(Config);
  const auto Tier = [&](const char *Key, std::size_t Route) {
    return number(Table.tierOf(Table.accountByKey(Key), Config.Routes[Route]));
  };

  SUBCASE("the account's priority goes before the route's") {
    CHECK(Tier("h", 1) < Tier("l", 0));
  }
  SUBCASE("among accounts of one priority the route decides") {
    CHECK(Tier("l", 0) < Tier("l", 1));
    CHECK(Tier("h", 0) < Tier("h", 1));
  }
  SUBCASE("a request without an account counts by its route") {
    CHECK(number(Table.tierOf(nullptr, Config.Routes[0])) == Tier("h", 0));
  }
}

TEST_CASE("a route with weights") {
  ForwardRoute Split = route("split", "a", "/");
  const auto Old = idOf<PoolId>("old");
  const auto New = idOf<PoolId>("new");
  Split.Pools = {{Old, 90}, {New, 10}};
  CHECK(selectPool(Split, 0.0) == Old);
  CHECK(selectPool(Split, 0.89) == Old);
  CHECK(selectPool(Split, 0.91) == New);
  Split.Pools = {{Old, 0}, {New, 10}};
  CHECK(selectPool(Split, 0.0) == New);
}

} // namespace
} // namespace marjorambay

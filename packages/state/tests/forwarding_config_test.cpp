/// Tests of the lookup index of forwarded routes.
#include "marjorambay/state/forwarding_config.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

ForwardRoute route(std::string Name, std::string Host, std::string Prefix,
                   std::uint32_t Priority = 0) {
  ForwardRoute Route;
  Route.Name = std::move(Name);
  Route.Host = std::move(Host);
  Route.PathPrefix = std::move(Prefix);
  Route.Priority = Priority;
  return Route;
}

ForwardAccount account(std::string Name, std::string Key,
                       std::optional<std::uint32_t> Priority = {}) {
  ForwardAccount Account;
  Account.Name = std::move(Name);
  Account.Id = idOf<AccountId>(Account.Name);
  Account.Keys = {std::move(Key)};
  Account.Priority = Priority;
  return Account;
}

TEST_CASE("lookups in a table of routes") {
  ForwardConfig Config;
  Config.Version = 7;
  Config.Routes = {
      route("all", "a.example", "/"), route("inner", "a.example", "/x/"),
      route("deep", "A.example", "/x/y/"), route("other", "b.example", "/x/")};
  Config.Accounts = {account("one", "key-1")};
  const ForwardTable Table(Config);

  SUBCASE("the longest matching path prefix wins") {
    CHECK(Table.match("a.example", "/x/y/z")->Name == "deep");
    CHECK(Table.match("a.example", "/x/z")->Name == "inner");
    CHECK(Table.match("a.example", "/other")->Name == "all");
  }
  SUBCASE("a prefix matches complete path segments only") {
    CHECK(Table.match("b.example", "/xy") == nullptr);
    CHECK(Table.match("b.example", "/x") == nullptr);
  }
  SUBCASE("case and port of the host are ignored") {
    CHECK(Table.match("B.Example:8080", "/x/")->Name == "other");
    CHECK(Table.match("c.example", "/x/") == nullptr);
  }
  SUBCASE("accounts are found by API key") {
    CHECK(Table.accountByKey("key-1")->Name == "one");
    CHECK(Table.accountByKey("key-2") == nullptr);
    CHECK(Table.accountByKey("") == nullptr);
  }
}

TEST_CASE("the tier of a request") {
  ForwardConfig Config;
  Config.Routes = {route("first", "a", "/1/", 0), route("last", "a", "/2/", 2)};
  Config.Accounts = {account("high", "h", 0), account("low", "l", 1)};
  const ForwardTable Table(Config);
  const auto Tier = [&](const char *Key, std::size_t Route) {
    return number(Table.tierOf(Table.accountByKey(Key), Config.Routes[Route]));
  };

  SUBCASE("depends on the account's priority first") {
    CHECK(Tier("h", 1) < Tier("l", 0));
  }
  SUBCASE("depends on the route's priority for accounts of equal priority") {
    CHECK(Tier("l", 0) < Tier("l", 1));
    CHECK(Tier("h", 0) < Tier("h", 1));
  }
  SUBCASE("without an account is that of an account of highest priority") {
    CHECK(number(Table.tierOf(nullptr, Config.Routes[0])) == Tier("h", 0));
  }
}

TEST_CASE("a pool is selected by its weight") {
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

/// The configuration in force: adoption, distribution to all components, and
/// proposals.
#include "actions.h"
#include "components.h"
#include "responses.h"
#include "rollouts.h"

#include "marjorambay/protocol/fleet_config_json.h"

namespace marjorambay {

namespace {

constexpr Duration ConfigTick = milliseconds(100);

void tellAccounts(Daemon &D) {
  for (const AccountConfig &Account : D.Config.config().Accounts) {
    const auto Id = idOf<AccountId>(Account.Name);
    post(D, OriginEvent(AccountLimitChanged{Id, Account.MaxQueued}));
    D.Numbers.setLabelName(LabelKind::Account, number(Id), Account.Name);
  }
}

void tellDefaults(Daemon &D) {
  const FleetDefaults Here = D.Config.effective(
      {.Host = D.Settings.HostName, .Zone = D.Settings.ZoneName});
  post(D, OriginEvent(DefaultsChanged{
              Here.MaxDeadline, Here.DispatchTimeout, Here.DefaultOutputTokens,
              Here.RetryBudgetRatio, Here.IdempotencyRetention}));
  post(D, IntentLogInput{RetentionChanged{Here.IdempotencyRetention}});
  tellCanaryShares(D);
}

void nameLabels(Daemon &D) {
  const FleetConfig &Config = D.Config.config();
  for (const TierConfig &Tier : Config.Tiers)
    D.Numbers.setLabelName(LabelKind::Tier, number(Tier.Rank), Tier.Name);
  for (const TargetConfig &Target : Config.Targets)
    if (!Target.Version.empty())
      D.Numbers.setLabelName(LabelKind::Version,
                             number(idOf<VersionId>(Target.Version)),
                             Target.Version);
}

void tellMembers(Daemon &D, Revision Rev) {
  TargetsConfigured Event;
  for (const TargetConfig &Target : D.Config.config().Targets)
    Event.Targets.push_back(idOf<TargetId>(Target.Name));
  post(D, MembershipEvent(std::move(Event)));
  post(D, MembershipEvent(RevisionAdopted{Rev}));
}

} // namespace

void startConfigSide(Daemon &D) {
  D.Subscriptions.push_back(D.Timers.every(
      ConfigTick, [&D]() { post(D, ConfigInput{ConfigTicked{}}); }));
}

void performConfig(Daemon &D, const AdoptConfig &Action) {
  Result<FleetConfig> Read = parseFleetConfig(Action.Document);
  if (!ok(Read)) {
    LogLine("bad_config", LogLevel::Error)
        .with("revision", static_cast<std::int64_t>(number(Action.Rev)))
        .with("message", error(Read).Message);
    return;
  }
  value(Read).Rev = Action.Rev;
  D.Config = ConfigIndex(std::move(value(Read)));
  LogLine("config_adopted")
      .with("revision", static_cast<std::int64_t>(number(Action.Rev)));
  nameLabels(D);
  tellMembers(D, Action.Rev);
  tellDefaults(D);
  tellAccounts(D);
  tellTargets(D);
  reviewArbiters(D);
}

void performConfig(Daemon &D, const FetchConfigFromPeer &Action) {
  sendHost(D, Action.Holder, ConfigRequested{D.Self.Id, Action.KnownRevision});
}

void performConfig(Daemon &D, const SendConfig &Action) {
  sendHost(D, Action.To, Action.Content);
}

void proposeConfig(Daemon &D, ExchangeId Exchange, Revision Base,
                   std::string_view Document) {
  Result<FleetConfig> Read = parseFleetConfig(Document);
  if (!ok(Read))
    return answerOperatorError(D, Exchange, error(Read));
  const Result<Done> Checked = checkFleetConfig(value(Read));
  if (!ok(Checked))
    return answerOperatorError(D, Exchange, error(Checked));
  value(Read).Rev = Revision{};
  const std::uint64_t Proposal = ++D.LastProposal;
  D.Proposals[Proposal] = Exchange;
  post(D, ConfigInput{
              ConfigProposed{Proposal, Base, printFleetConfig(value(Read))}});
}

void performConfig(Daemon &D, const AnswerProposal &Action) {
  const auto Found = D.Proposals.find(Action.ProposalId);
  if (Found == D.Proposals.end())
    return;
  const ExchangeId Exchange = Found->second;
  D.Proposals.erase(Found);
  if (!ok(Action.Outcome))
    return answerOperatorError(D, Exchange, error(Action.Outcome));
  const std::string Accepted = std::to_string(number(value(Action.Outcome)));
  D.Operators.answer(Exchange, 200, {{"Content-Type", "application/json"}},
                     "{\"revision\": " + Accepted + "}\n");
}

} // namespace marjorambay

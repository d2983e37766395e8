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

void publishAccounts(Daemon &D) {
  for (const AccountConfig &Account : D.Config.config().Accounts) {
    const auto Id = idOf<AccountId>(Account.Name);
    post(D, OriginEvent(AccountLimitChanged{Id, Account.MaxQueued}));
    D.Stats.setLabelName(LabelKind::Account, number(Id), Account.Name);
  }
}

void publishDefaults(Daemon &D) {
  const FleetDefaults Defaults = D.Config.effective(
      {.Host = D.Settings.HostName, .Zone = D.Settings.ZoneName});
  post(D, OriginEvent(DefaultsChanged{
              Defaults.MaxDeadline, Defaults.DispatchTimeout,
              Defaults.DefaultOutputTokens, Defaults.RetryBudgetRatio,
              Defaults.IdempotencyRetention}));
  post(D, IntentLogInput{RetentionChanged{Defaults.IdempotencyRetention}});
  publishCanaryCaps(D);
}

void setLabelNames(Daemon &D) {
  const FleetConfig &Config = D.Config.config();
  for (const TierConfig &Tier : Config.Tiers)
    D.Stats.setLabelName(LabelKind::Tier, number(Tier.Rank), Tier.Name);
  for (const TargetConfig &Target : Config.Targets)
    if (!Target.Version.empty())
      D.Stats.setLabelName(LabelKind::Version,
                           number(idOf<VersionId>(Target.Version)),
                           Target.Version);
}

void publishRevision(Daemon &D, Revision Rev) {
  TargetsConfigured Event;
  for (const TargetConfig &Target : D.Config.config().Targets)
    Event.Targets.push_back(idOf<TargetId>(Target.Name));
  post(D, MembershipEvent(std::move(Event)));
  post(D, MembershipEvent(RevisionAdopted{Rev}));
}

} // namespace

void startConfig(Daemon &D) {
  D.Subscriptions.push_back(D.Timers.every(
      ConfigTick, [&D]() { post(D, ConfigInput{ConfigTicked{}}); }));
}

void performConfig(Daemon &D, const AdoptConfig &Action) {
  Result<FleetConfig> Parsed = parseFleetConfig(Action.Document);
  if (!ok(Parsed)) {
    LogLine("bad_config", LogLevel::Error)
        .with("revision", static_cast<std::int64_t>(number(Action.Rev)))
        .with("message", error(Parsed).Message);
    return;
  }
  value(Parsed).Rev = Action.Rev;
  D.Config = ConfigIndex(std::move(value(Parsed)));
  LogLine("config_adopted")
      .with("revision", static_cast<std::int64_t>(number(Action.Rev)));
  setLabelNames(D);
  publishRevision(D, Action.Rev);
  publishDefaults(D);
  publishAccounts(D);
  publishTargets(D);
  updateArbiterLocations(D);
}

void performConfig(Daemon &D, const FetchConfigFromPeer &Action) {
  sendToHost(D, Action.Holder,
             ConfigRequested{D.Self.Id, Action.KnownRevision});
}

void performConfig(Daemon &D, const SendConfig &Action) {
  sendToHost(D, Action.To, Action.Content);
}

void proposeConfig(Daemon &D, ExchangeId Exchange, Revision Base,
                   std::string_view Document) {
  Result<FleetConfig> Parsed = parseFleetConfig(Document);
  if (!ok(Parsed))
    return respondOperatorError(D, Exchange, error(Parsed));
  const Result<Done> Checked = checkFleetConfig(value(Parsed));
  if (!ok(Checked))
    return respondOperatorError(D, Exchange, error(Checked));
  value(Parsed).Rev = Revision{};
  const std::uint64_t Proposal = ++D.LastProposal;
  D.PendingProposals[Proposal] = Exchange;
  post(D, ConfigInput{
              ConfigProposed{Proposal, Base, printFleetConfig(value(Parsed))}});
}

void performConfig(Daemon &D, const AnswerProposal &Action) {
  const auto Found = D.PendingProposals.find(Action.ProposalId);
  if (Found == D.PendingProposals.end())
    return;
  const ExchangeId Exchange = Found->second;
  D.PendingProposals.erase(Found);
  if (!ok(Action.Outcome))
    return respondOperatorError(D, Exchange, error(Action.Outcome));
  const std::string Accepted = std::to_string(number(value(Action.Outcome)));
  D.Operators.answer(Exchange, 200, {{"Content-Type", "application/json"}},
                     "{\"revision\": " + Accepted + "}\n");
}

} // namespace marjorambay

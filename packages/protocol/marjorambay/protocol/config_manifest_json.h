/// JSON codec of the platform object config/fleet.
#ifndef MARJORAMBAY_PROTOCOL_CONFIG_MANIFEST_JSON_H
#define MARJORAMBAY_PROTOCOL_CONFIG_MANIFEST_JSON_H

#include "marjorambay/state/config_manifest.h"
#include "marjorambay/state/error.h"

#include <string>
#include <string_view>

namespace marjorambay {

/// Parses a manifest. A JSON object without the key "manifest" is taken as a
/// plain configuration document, which an operator may have stored by hand.
Result<ConfigManifest> parseConfigManifest(std::string_view Json);

std::string printConfigManifest(const ConfigManifest &Manifest);

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_CONFIG_MANIFEST_JSON_H

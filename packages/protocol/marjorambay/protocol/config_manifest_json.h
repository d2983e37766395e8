/// The platform object config/fleet to and from its bytes.
#ifndef MARJORAMBAY_PROTOCOL_CONFIG_MANIFEST_JSON_H
#define MARJORAMBAY_PROTOCOL_CONFIG_MANIFEST_JSON_H

#include "marjorambay/state/config_manifest.h"
#include "marjorambay/state/error.h"

#include <string>
#include <string_view>

namespace marjorambay {

/// Reads a manifest. A JSON object without the key "manifest" is taken as a
/// plain configuration document, as a person may have put it there.
Result<ConfigManifest> parseConfigManifest(std::string_view Json);

std::string printConfigManifest(const ConfigManifest &Manifest);

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_CONFIG_MANIFEST_JSON_H

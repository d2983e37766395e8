/// Output of marjorambayctl.
#include "command.h"

#include "marjorambay/protocol/error_body.h"

#include <iostream>

namespace marjorambay {

void Output::print(const std::string &Text, const std::string &JsonText) const {
  const std::string &Printed = Json ? JsonText : Text;
  std::cout << Printed;
  if (!Printed.empty() && Printed.back() != '\n')
    std::cout << '\n';
}

void Output::progress(const std::string &Text) const {
  std::cerr << Text << std::endl;
}

int Output::fail(const Error &Reason) const {
  if (Json)
    std::cout << printError(Reason, "", traitsOf(Reason.Kind).Ran) << '\n';
  else
    std::cerr << "marjorambayctl: " << nameOf(Reason.Kind) << ": "
              << Reason.Message << '\n';
  return traitsOf(Reason.Kind).ExitCode;
}

} // namespace marjorambay

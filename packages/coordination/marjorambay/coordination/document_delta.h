/// Line-based differences between two revisions of a document, and
/// content-defined splitting of a document into parts.
#ifndef MARJORAMBAY_COORDINATION_DOCUMENT_DELTA_H
#define MARJORAMBAY_COORDINATION_DOCUMENT_DELTA_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay {

/// Replaces Removed bytes at Offset of the old document with Inserted.
struct DocumentEdit {
  std::uint64_t Offset = 0;
  std::uint64_t Removed = 0;
  std::string Inserted{};

  bool operator==(const DocumentEdit &) const = default;
};

/// Returns the edits, ordered by offset, that turn \p Old into \p New. They are
/// always correct, but not always minimal.
std::vector<DocumentEdit> diffDocuments(std::string_view Old,
                                        std::string_view New);

/// Applies \p Edits to \p Old. Returns nothing if an edit is out of range or
/// out of order.
std::optional<std::string> applyEdits(std::string_view Old,
                                      const std::vector<DocumentEdit> &Edits);

/// Returns the approximate size of \p Edits on the wire, in bytes.
std::size_t approximateSize(const std::vector<DocumentEdit> &Edits);

/// Splits \p Document at line ends chosen by the hash of the line, so that a
/// changed line changes one part and leaves the others unchanged. Parts hold
/// about 8 KiB, and at most 64 KiB plus one line.
std::vector<std::string_view> splitDocument(std::string_view Document);

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_DOCUMENT_DELTA_H

/// Differences between two revisions of a document, line by line, and the
/// splitting of a document into parts that few changes touch.
#ifndef MARJORAMBAY_COORDINATION_DOCUMENT_DELTA_H
#define MARJORAMBAY_COORDINATION_DOCUMENT_DELTA_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay {

/// Replaces Removed bytes at Offset of the old document by Inserted.
struct DocumentEdit {
  std::uint64_t Offset = 0;
  std::uint64_t Removed = 0;
  std::string Inserted{};

  bool operator==(const DocumentEdit &) const = default;
};

/// Returns the edits, by rising offset, that turn \p Old into \p New. They are
/// short when few lines differ; they are always right.
std::vector<DocumentEdit> diffDocuments(std::string_view Old,
                                        std::string_view New);

/// Applies \p Edits to \p Old; nothing when they do not fit it.
std::optional<std::string> applyEdits(std::string_view Old,
                                      const std::vector<DocumentEdit> &Edits);

/// Returns the bytes that \p Edits take to send, roughly.
std::size_t sizeOf(const std::vector<DocumentEdit> &Edits);

/// Splits \p Document at line ends that its own content picks, so that a
/// changed line changes one part and leaves the others as they were. Parts hold
/// about 8 KiB, and at most 64 KiB unless a single line is longer.
std::vector<std::string_view> splitDocument(std::string_view Document);

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_DOCUMENT_DELTA_H

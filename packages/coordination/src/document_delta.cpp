/// Line differences and content-defined parts of documents.
#include "marjorambay/coordination/document_delta.h"

#include "marjorambay/state/ids.h"

#include <algorithm>

namespace marjorambay {

namespace {

using Lines = std::vector<std::string_view>;

constexpr std::size_t MaxPartBytes = 64 << 10;
constexpr std::uint64_t LinesPerPart =
    /// Mean number of lines in a part; a line has 200 to 300 bytes.
    32;
/// Maximum number of lines skipped to find a match.
constexpr std::size_t ResyncWindow = 256;
/// Bytes in addition to the inserted text.
constexpr std::size_t EditOverhead = 12;

Lines linesOf(std::string_view Document) {
  Lines Found;
  while (!Document.empty()) {
    const std::size_t End = Document.find('\n');
    const std::size_t Length =
        End == std::string_view::npos ? Document.size() : End + 1;
    Found.push_back(Document.substr(0, Length));
    Document.remove_prefix(Length);
  }
  return Found;
}

/// Numbers of lines to skip in the old and in the new document until both match
/// again.
struct Skip {
  std::size_t Old = 0;
  std::size_t New = 0;
};

/// Finds the shortest skip after which the next lines are equal. If there is
/// none within the window, skips all remaining lines.
Skip findResync(const Lines &Old, std::size_t OldAt, const Lines &New,
                std::size_t NewAt) {
  const std::size_t OldLeft = Old.size() - OldAt;
  const std::size_t NewLeft = New.size() - NewAt;
  for (std::size_t Total = 1; Total <= ResyncWindow; ++Total)
    for (std::size_t SkipOld = 0; SkipOld <= Total; ++SkipOld) {
      const std::size_t SkipNew = Total - SkipOld;
      if (SkipOld >= OldLeft || SkipNew >= NewLeft)
        continue;
      if (Old[OldAt + SkipOld] == New[NewAt + SkipNew])
        return {SkipOld, SkipNew};
    }
  return {OldLeft, NewLeft};
}

std::size_t bytesOf(const Lines &All, std::size_t From, std::size_t Count) {
  std::size_t Bytes = 0;
  for (std::size_t Line = From; Line < From + Count; ++Line)
    Bytes += All[Line].size();
  return Bytes;
}

} // namespace

std::vector<DocumentEdit> diffDocuments(std::string_view Old,
                                        std::string_view New) {
  const Lines OldLines = linesOf(Old);
  const Lines NewLines = linesOf(New);
  std::vector<DocumentEdit> Edits;
  std::size_t OldAt = 0;
  std::size_t NewAt = 0;
  std::uint64_t Offset = 0;
  while (OldAt < OldLines.size() || NewAt < NewLines.size()) {
    if (OldAt < OldLines.size() && NewAt < NewLines.size() &&
        OldLines[OldAt] == NewLines[NewAt]) {
      Offset += OldLines[OldAt].size();
      ++OldAt;
      ++NewAt;
      continue;
    }
    const Skip Gap = findResync(OldLines, OldAt, NewLines, NewAt);
    DocumentEdit Edit{Offset, bytesOf(OldLines, OldAt, Gap.Old), {}};
    for (std::size_t Line = NewAt; Line < NewAt + Gap.New; ++Line)
      Edit.Inserted += NewLines[Line];
    Offset += Edit.Removed;
    OldAt += Gap.Old;
    NewAt += Gap.New;
    Edits.push_back(std::move(Edit));
  }
  return Edits;
}

std::optional<std::string> applyEdits(std::string_view Old,
                                      const std::vector<DocumentEdit> &Edits) {
  std::string New;
  New.reserve(Old.size());
  std::uint64_t At = 0;
  for (const DocumentEdit &Edit : Edits) {
    if (Edit.Offset < At || Edit.Offset > Old.size() ||
        Edit.Removed > Old.size() - Edit.Offset)
      return std::nullopt;
    New += Old.substr(At, Edit.Offset - At);
    New += Edit.Inserted;
    At = Edit.Offset + Edit.Removed;
  }
  New += Old.substr(At);
  return New;
}

std::size_t approximateSize(const std::vector<DocumentEdit> &Edits) {
  std::size_t Bytes = 0;
  for (const DocumentEdit &Edit : Edits)
    Bytes += Edit.Inserted.size() + EditOverhead;
  return Bytes;
}

std::vector<std::string_view> splitDocument(std::string_view Document) {
  std::vector<std::string_view> Parts;
  std::size_t Begin = 0;
  std::size_t End = 0;
  for (std::string_view Line : linesOf(Document)) {
    End += Line.size();
    const bool IsBoundary = hash64(Line) % LinesPerPart == 0;
    if (!IsBoundary && End - Begin < MaxPartBytes)
      continue;
    Parts.push_back(Document.substr(Begin, End - Begin));
    Begin = End;
  }
  if (Begin < Document.size())
    Parts.push_back(Document.substr(Begin));
  return Parts;
}

} // namespace marjorambay

#include "crocusspur/trace.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace crocusspur;

namespace {

bool isAction(const std::string &Line) {
  return Line.find("\"action\":") != std::string::npos;
}

std::vector<std::string> linesOf(const std::string &Text) {
  std::vector<std::string> lines;
  std::istringstream in(Text);
  for (std::string line; std::getline(in, line);)
    lines.push_back(line);
  return lines;
}

std::string contentOf(const std::filesystem::path &File) {
  std::ifstream in(File);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

ReplayResult replay(const std::string &Text, std::string &Out) {
  std::istringstream in(Text);
  std::ostringstream out;
  ReplayResult result;
  bool ok = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_ASSIGN(result, replayTrace(in, out));
        return true;
      },
      [](const DiagnosticList &List) {
        for (const Diagnostic &it : List.Diagnostics)
          MESSAGE(it.str());
        return false;
      },
      [] { return false; });
  CHECK(ok);
  Out = out.str();
  return result;
}

// Rewrites the session with the actions that the core produces now.
void record(const std::filesystem::path &File) {
  std::string header;
  std::string recorded;
  for (const std::string &line : linesOf(contentOf(File))) {
    if (isAction(line))
      continue;
    if (header.empty()) {
      header = line + "\n";
      recorded = header;
      continue;
    }
    // The actions of the last event are those after the previous ones.
    std::string before;
    std::string after;
    replay(recorded, before);
    recorded += line + "\n";
    replay(recorded, after);
    recorded += after.substr(before.size());
  }
  std::ofstream(File) << recorded;
}

std::vector<std::filesystem::path> sessions() {
  std::vector<std::filesystem::path> files;
  for (const auto &it : std::filesystem::directory_iterator(
           std::string(CROCUSSPUR_TEST_DATA) + "/golden"))
    if (it.path().extension() == ".jsonl")
      files.push_back(it.path());
  std::sort(files.begin(), files.end());
  return files;
}

} // namespace

// Guards against unintended changes of the decisions in whole sessions. After
// an intended change, run with CROCUSSPUR_RECORD_GOLDEN=1 and review the diff
// of the files.
TEST_CASE("Golden sessions produce the recorded actions") {
  auto files = sessions();
  CHECK(files.size() >= 10);
  for (const auto &file : files) {
    if (std::getenv("CROCUSSPUR_RECORD_GOLDEN"))
      record(file);
    std::string text = contentOf(file);
    std::string out;
    ReplayResult result = replay(text, out);
    CAPTURE(file.filename().string());
    std::vector<std::string> expected;
    for (const std::string &line : linesOf(text))
      if (isAction(line))
        expected.push_back(line);
    CHECK(result.Events > 0);
    CHECK(!expected.empty());
    CHECK(result.Differences == 0);
    // Shows the first difference, which the count doesn't.
    std::vector<std::string> actual = linesOf(out);
    for (size_t i = 0; i < std::max(actual.size(), expected.size()); ++i) {
      std::string is = i < actual.size() ? actual[i] : "(none)";
      std::string was = i < expected.size() ? expected[i] : "(none)";
      CHECK(is == was);
      if (is != was)
        break;
    }
  }
}

#include "site_events.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <sstream>
#include <utility>

namespace crocusspur::soak {
namespace {

constexpr std::string_view ByteOrderMarkBytes = "\xEF\xBB\xBF";
// An id that a reader of the first id field would take.
constexpr int WrongIdOffset = 40;
constexpr size_t MaxDescribedBytes = 90;

std::string dataOf(const SiteEvent &Event, size_t Padding) {
  return Event.Stream + " " + Event.Server + " " + Event.Version + " " +
         std::to_string(Event.Run) + " " + std::to_string(Event.From) + " " +
         std::to_string(Event.To) + " " + std::string(Padding, '.') + "end";
}

// Returns nothing unless the text is exactly the data of one event.
std::optional<SiteEvent> parseData(const std::string &Data) {
  std::istringstream in(Data);
  SiteEvent event;
  std::string end;
  in >> event.Stream >> event.Server >> event.Version >> event.Run >>
      event.From >> event.To >> end;
  if (!in || end.size() < 3 || dataOf(event, end.size() - 3) != Data)
    return std::nullopt;
  return event;
}

// In one line, for violations.
std::string describe(const SiteEvent &Event) {
  if (Event.To == 0)
    return "nothing";
  return std::to_string(Event.From) + " to " + std::to_string(Event.To) +
         " of " + Event.Stream + " (server " + Event.Server + " " +
         Event.Version + ", run " + std::to_string(Event.Run) + ")";
}

std::string inOneLine(std::string_view Text) {
  std::string line(Text.substr(0, MaxDescribedBytes));
  std::replace(line.begin(), line.end(), '\n', '|');
  std::replace(line.begin(), line.end(), '\r', '^');
  return "\"" + line + "\"";
}

// Removes the next line and its end, which may be any, and returns it; nothing
// if the text has no whole line.
std::optional<std::string_view> takeLine(std::string_view &Text) {
  size_t n = Text.find_first_of("\r\n");
  if (n == Text.npos)
    return std::nullopt;
  std::string_view line = Text.substr(0, n);
  bool both = Text.substr(n).starts_with("\r\n");
  Text.remove_prefix(n + (both ? 2 : 1));
  return line;
}

// The value of a field, if the line is of this name.
std::optional<std::string_view> fieldOf(std::string_view Line,
                                        std::string_view Name) {
  size_t n = std::min(Line.find(':'), Line.size());
  if (Line.substr(0, n) != Name)
    return std::nullopt;
  Line.remove_prefix(std::min(n + 1, Line.size()));
  if (Line.starts_with(' '))
    Line.remove_prefix(1);
  return Line;
}

void dropByteOrderMark(std::string_view &Text) {
  if (Text.starts_with(ByteOrderMarkBytes))
    Text.remove_prefix(ByteOrderMarkBytes.size());
}

} // namespace

EventForm drawForm(uint64_t Seed) {
  std::mt19937_64 random(Seed);
  static const char *LineEnds[] = {"\n", "\r\n", "\r"};
  EventForm form;
  form.LineEnd = LineEnds[random() % std::size(LineEnds)];
  for (bool *it :
       {&form.Comments, &form.OtherFields, &form.DataFirst, &form.NoBlank,
        &form.WeightLine, &form.ByteOrderMark, &form.TwoIds})
    *it = random() % 3 == 0;
  form.Padding = random() % 4 == 0 ? 3000 : 0;
  return form;
}

std::string describe(const EventForm &Form) {
  std::string text = Form.LineEnd == "\n"     ? "lf"
                     : Form.LineEnd == "\r\n" ? "crlf"
                                              : "cr";
  const std::pair<bool, const char *> Parts[] = {
      {Form.Comments, "comments"},    {Form.OtherFields, "fields"},
      {Form.DataFirst, "data-first"}, {Form.NoBlank, "no-blank"},
      {Form.WeightLine, "weights"},   {Form.ByteOrderMark, "mark"},
      {Form.TwoIds, "two-ids"},       {Form.Padding > 0, "padded"}};
  for (const auto &[has, name] : Parts)
    if (has)
      text += std::string("+") + name;
  return text;
}

std::string textOf(const SiteEvent &Event, const EventForm &Form) {
  auto field = [&](const std::string &Name, const std::string &Value) {
    return Name + (Form.NoBlank ? ":" : ": ") + Value + Form.LineEnd;
  };
  std::string out;
  if (Form.WeightLine && Event.From % 2 == 1)
    out += field("weight-versions", "3");
  if (Form.Comments && Event.To % 2 == 1)
    out += field("", "a note");
  if (Form.OtherFields)
    out += field("event", "token") + field("retry", "3000");
  std::string data = field("data", dataOf(Event, Form.Padding));
  std::string id;
  if (Form.TwoIds)
    id = field("id", std::to_string(Event.To + WrongIdOffset));
  id += field("id", std::to_string(Event.To));
  out += Form.DataFirst ? data + id : id + data;
  return out + Form.LineEnd;
}

std::string commentOf(const EventForm &Form) {
  return Form.Comments ? ": alive" + Form.LineEnd + Form.LineEnd : "";
}

std::string byteOrderMarkOf(const EventForm &Form) {
  return std::string(Form.ByteOrderMark ? ByteOrderMarkBytes : "");
}

const char *nameOf(SiteFault Fault) {
  switch (Fault) {
  case SiteFault::InsideEvent:
    return "inside_event";
  case SiteFault::Gap:
    return "gap";
  case SiteFault::Back:
    return "back";
  case SiteFault::Foreign:
    return "foreign";
  case SiteFault::MixedVersions:
    return "mixed_versions";
  case SiteFault::Unsigned:
    return "unsigned";
  case SiteFault::RanTwice:
    return "ran_twice";
  }
  return "unknown";
}

ReadAnswer readStrictly(std::string_view Body, const EventForm &Form) {
  ReadAnswer answer;
  if (Form.ByteOrderMark)
    dropByteOrderMark(Body);
  const std::string end = Form.LineEnd + Form.LineEnd;
  size_t n = 0;
  while ((n = Body.find(end)) != Body.npos) {
    std::string_view text = Body.substr(0, n + end.size());
    Body.remove_prefix(text.size());
    if (!commentOf(Form).empty() && text == commentOf(Form))
      continue;
    std::optional<SiteEvent> event;
    for (std::string_view left = text; !event && !left.empty();) {
      size_t line = left.find(Form.LineEnd);
      if (auto data = fieldOf(left.substr(0, line), "data"))
        event = parseData(std::string(*data));
      left.remove_prefix(line + Form.LineEnd.size());
    }
    if (!event || textOf(*event, Form) != text) {
      answer.Foreign = inOneLine(text);
      return answer;
    }
    answer.Events.push_back(*event);
  }
  if (!Body.empty())
    answer.Rest = inOneLine(Body);
  return answer;
}

ReadAnswer readAsFormat(std::string_view Body) {
  ReadAnswer answer;
  dropByteOrderMark(Body);
  std::string id, data;
  bool hasLine = false;
  while (std::optional<std::string_view> line = takeLine(Body)) {
    if (!line->empty()) {
      hasLine = hasLine || !line->starts_with(':');
      if (auto value = fieldOf(*line, "data"))
        data += std::string(*value) + "\n";
      else if (auto last = fieldOf(*line, "id");
               last && last->find('\0') == last->npos)
        id = *last;
      continue;
    }
    hasLine = false;
    if (data.empty())
      continue;
    data.pop_back();
    std::optional<SiteEvent> event = parseData(std::exchange(data, {}));
    if (!event || id != std::to_string(event->To)) {
      answer.Foreign = "an event with the id " + inOneLine(id);
      return answer;
    }
    answer.Events.push_back(*event);
  }
  if (hasLine || !Body.empty())
    answer.Rest = inOneLine(Body);
  return answer;
}

std::optional<SiteFault> SiteStream::faultOf(const Reader &State,
                                             const SiteEvent &Event) const {
  if (Event.Stream != Id || Event.To > SiteTokens || Event.To < Event.From)
    return SiteFault::Foreign;
  if (Event.From <= State.Last.To ||
      (Event.Run != State.Last.Run && State.Runs.contains(Event.Run)))
    return SiteFault::Back;
  if (Event.From > State.Last.To + 1)
    return SiteFault::Gap;
  return std::nullopt;
}

void SiteStream::judge(Reader &State, const ReadAnswer &Answer, bool Complete,
                       const std::string &Where,
                       std::vector<SiteFinding> &Findings) {
  auto report = [&](SiteFault Fault, const std::string &What) {
    // Both readers see most faults.
    if (std::none_of(Findings.begin(), Findings.end(),
                     [&](const SiteFinding &It) { return It.Fault == Fault; }))
      Findings.push_back({Fault, std::string(nameOf(Fault)) + Where + ": " +
                                     describe(State.Last) + ", then " + What});
  };
  for (const SiteEvent &it : Answer.Events) {
    if (std::optional<SiteFault> fault = faultOf(State, it)) {
      report(*fault, describe(it));
      Over = true;
      return;
    }
    if (!State.Last.Version.empty() && it.Version != State.Last.Version &&
        !std::exchange(State.Mixed, true))
      report(SiteFault::MixedVersions, describe(it));
    State.Runs.insert(it.Run);
    State.Last = it;
  }
  if (!Answer.Foreign.empty()) {
    report(SiteFault::Foreign, Answer.Foreign);
    Over = true;
  } else if (Complete && (State.Last.To < SiteTokens || !Answer.Rest.empty())) {
    report(SiteFault::InsideEvent, Answer.Rest.empty()
                                       ? "a proper end"
                                       : Answer.Rest + " and a proper end");
  }
}

std::vector<SiteFinding> SiteStream::add(const std::string &Body,
                                         bool Complete) {
  std::vector<SiteFinding> findings;
  std::string where = " in answer " + std::to_string(++Answers) + " of " + Id;
  judge(Readers[0], readStrictly(Body, *Form), Complete, where + ", strict",
        findings);
  judge(Readers[1], readAsFormat(Body), Complete, where + ", format", findings);
  if (findings.empty() && Readers[0].Last.To != Readers[1].Last.To)
    findings.push_back({SiteFault::InsideEvent,
                        "inside_event" + where + ": one reader has " +
                            describe(Readers[0].Last) + ", the other " +
                            describe(Readers[1].Last)});
  Over = Over || Complete;
  return findings;
}

} // namespace crocusspur::soak

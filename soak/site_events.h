// Events of the streams of the site shape, in the forms that servers write, and
// the judge of what a caller has received of one stream.
#ifndef CROCUSSPUR_SOAK_SITE_EVENTS_H
#define CROCUSSPUR_SOAK_SITE_EVENTS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crocusspur::soak {

constexpr int SiteTokens = 60; // of a whole stream, numbered from 1
constexpr int MaxTokensPerEvent = 11;

// How the servers of a run of the soak write events.
struct EventForm {
  std::string LineEnd = "\n";
  bool Comments = false;    // in events and between them
  bool OtherFields = false; // with no meaning for the stream
  bool DataFirst = false;   // before the id
  bool NoBlank = false;     // after the colon
  bool WeightLine = false;  // as the first line of some events
  bool ByteOrderMark = false;
  bool TwoIds = false; // of which the last one holds
  size_t Padding = 0;  // bytes of each event
};

EventForm drawForm(uint64_t Seed);
std::string describe(const EventForm &Form); // in one word

// An event with the tokens `From` to `To`; its id is `To`.
struct SiteEvent {
  std::string Stream; // attempt id of the request that began it
  std::string Server;
  std::string Version; // of the server's software
  uint64_t Run = 0;    // differs between all runs of a soak
  int From = 0;
  int To = 0;
};

std::string textOf(const SiteEvent &Event, const EventForm &Form);
// Between two events, where the form has comments.
std::string commentOf(const EventForm &Form);
std::string byteOrderMarkOf(const EventForm &Form);

enum class SiteFault : uint8_t {
  InsideEvent, // looks complete before the last token
  Gap,
  Back, // tokens twice or going back
  Foreign,
  MixedVersions,
  Unsigned,
  RanTwice
};
constexpr size_t SiteFaultCount = 7;
const char *nameOf(SiteFault Fault); // name in the output

struct SiteFinding {
  SiteFault Fault;
  std::string Text;
};

// What a reader finds in one answer.
struct ReadAnswer {
  std::vector<SiteEvent> Events;
  std::string Foreign; // the first text that is no event
  std::string Rest;    // after the last event, in one line; empty: none
};

// Knows the line end of the stream only and takes exactly the events that
// servers write.
ReadAnswer readStrictly(std::string_view Body, const EventForm &Form);
// Reads the format text/event-stream with any line end.
ReadAnswer readAsFormat(std::string_view Body);

// What a caller has received of one stream, over all its answers.
class SiteStream {
public:
  SiteStream(std::string Id, const EventForm &Form)
      : Id(std::move(Id)), Form(&Form) {}

  // Adds the body of the next answer. `Complete`: by its framing. Returns what
  // is wrong with it.
  std::vector<SiteFinding> add(const std::string &Body, bool Complete);

  const std::string &id() const { return Id; }
  int tokens() const { return Readers[0].Last.To; }
  // An answer has ended as complete or was faulty: nothing may be added.
  bool isOver() const { return Over; }

private:
  struct Reader {
    SiteEvent Last;
    std::set<uint64_t> Runs; // that events have come from
    bool Mixed = false;      // already reported
  };

  void judge(Reader &State, const ReadAnswer &Answer, bool Complete,
             const std::string &Where, std::vector<SiteFinding> &Findings);
  std::optional<SiteFault> faultOf(const Reader &State,
                                   const SiteEvent &Event) const;

  std::string Id;
  const EventForm *Form;
  std::array<Reader, 2> Readers; // the strict one, the one of the format
  int Answers = 0;
  bool Over = false;
};

} // namespace crocusspur::soak

#endif

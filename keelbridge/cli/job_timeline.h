// The timeline of one job, reconstructed from the log lines of many nodes.
//
// Lines may be added in any order and from any number of files. Text before the
// JSON object of a line is ignored, so log collectors may add a prefix. The
// lines that name the job are merged in the order of their times with the
// events of the site in that period, such as changes of leader, losses of the
// store, and unresponsive workers.
//
//   JobTimeline timeline(job);
//   timeline.AddLine(line);  // For each line of each log.
//   out << timeline.Text();

#ifndef KEELBRIDGE_CLI_JOB_TIMELINE_H_
#define KEELBRIDGE_CLI_JOB_TIMELINE_H_

#include <json/json.h>

#include <set>
#include <string>
#include <vector>

#include "keelbridge/protocol/job.h"

namespace keelbridge::cli {

// Collects the log lines that concern one job.
class JobTimeline {
 public:
  explicit JobTimeline(JobId job);

  // Adds one log line. Lines that are malformed or do not concern the job or
  // the site are ignored.
  void AddLine(const std::string& line);
  // Returns whether any line names the job.
  bool found() const { return !job_lines_.empty(); }
  // Returns the timeline, followed by the causes of failures and delays.
  std::string Text() const;
  // Returns only the causes, without duplicates, in the order of their events.
  std::vector<std::string> Causes() const;

 private:
  struct Line {
    std::string time;
    std::string process;
    Json::Value fields;
  };
  // Returns the lines of the job, and the lines of the site in the same period
  // that concern the job, ordered by time.
  std::vector<Line> RelevantLines() const;

  const std::string job_;
  std::vector<Line> job_lines_;    // Lines that name the job.
  std::vector<Line> site_lines_;   // Lines about the site and its workers.
  std::set<std::string> workers_;  // Workers that the job's lines name.
};

}  // namespace keelbridge::cli

#endif  // KEELBRIDGE_CLI_JOB_TIMELINE_H_

// One job's way, told from the log lines of many nodes.
//
// Reads lines in any order, from any number of files; whatever stands before
// the JSON object of a line is passed over, so collectors may add a prefix.
// Lines that name the job are told in the order of their times, together with
// what the site went through meanwhile: changes of leader, lost stores, silent
// workers.
//
//   JobTimeline story(job);
//   story.AddLine(line);              // For each line of each log.
//   out << story.Text();

#ifndef KEELBRIDGE_CLI_JOB_TIMELINE_H_
#define KEELBRIDGE_CLI_JOB_TIMELINE_H_

#include <json/json.h>

#include <set>
#include <string>
#include <vector>

#include "keelbridge/protocol/job.h"

namespace keelbridge::cli {

class JobTimeline {
 public:
  explicit JobTimeline(JobId job);

  void AddLine(const std::string& line);
  // Whether any line named the job.
  bool found() const { return !job_lines_.empty(); }
  // The way and, last, the causes that the lines name.
  std::string Text() const;
  // Only the causes, most telling first.
  std::vector<std::string> Causes() const;

 private:
  struct Line {
    std::string time;
    std::string process;
    Json::Value fields;
  };
  std::vector<Line> RelevantLines() const;

  const std::string job_;
  std::vector<Line> job_lines_;   // That name the job.
  std::vector<Line> site_lines_;  // That tell of the site.
  std::set<std::string> workers_;
};

}  // namespace keelbridge::cli

#endif  // KEELBRIDGE_CLI_JOB_TIMELINE_H_

// Odd documents, as a faulty or unrelated program could write them: valid JSON
// documents of which one value is replaced by one that is very deeply nested,
// too large, of another type, or a port out of range.
//
//   for (const std::string& document : OddVariantsOf(R"({"port":80})"))
//     CHECK_NOTHROW(Decode(document));

#ifndef KEELBRIDGE_TESTING_FAKES_ODD_DOCUMENTS_H_
#define KEELBRIDGE_TESTING_FAKES_ODD_DOCUMENTS_H_

#include <string>
#include <vector>

namespace keelbridge::testing {

// Returns `depth` arrays within one another, or objects.
std::string NestedArrays(int depth);
std::string NestedObjects(int depth);

// Returns the texts of single values that no program of ours writes. Some are
// not valid JSON.
std::vector<std::string> OddValues();

// Returns `document`, an object, once for each of its values and each odd
// value, with the one replaced by the other. Also each of its members alone
// with each odd value, and each odd value in a member that is not known.
std::vector<std::string> OddVariantsOf(const std::string& document);

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_FAKES_ODD_DOCUMENTS_H_

#include "gateway/settings_file.h"

#include <sys/stat.h>

namespace frostline::gateway {

std::vector<settings_error> settings_file::read(settings& into) {
  // A change that comes while the file is read must be noticed later.
  last_read_ = identify();
  return read_settings(path_, into);
}

settings_file::identity settings_file::identify() const {
  struct stat status {};
  if (::stat(path_.c_str(), &status) != 0) return {};
  return {status.st_ino, status.st_size, status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
}

}  // namespace frostline::gateway

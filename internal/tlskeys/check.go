package tlskeys

import (
	"errors"
	"fmt"
	"path/filepath"
	"time"
)

// Check reads a directory of keys once. It returns the set of the complete entries, a warning for each certificate that expires
// within 30 days, and the joined errors of the faulty files. set is nil if the directory can't be read.
func Check(folder, defaultPair string, now time.Time) (warnings []string, set *Set, err error) {
	files, err := readFolder(folder)
	if err != nil {
		return nil, nil, err
	}
	set, fileErrs := Update(Empty(), files, defaultPair, now)
	for _, e := range set.Expiring(now, expiryWarning) {
		file := filepath.Join(folder, e.Name+certSuffix)
		warnings = append(warnings, fmt.Sprintf("%s: expires in %s", file, formatDays(e.Remaining)))
	}
	return warnings, set, errors.Join(withFolder(folder, fileErrs)...)
}

// withFolder puts the directory's path before the file names in errors. It changes the slice.
func withFolder(folder string, fileErrs []error) []error {
	for i, fileErr := range fileErrs {
		fileErrs[i] = fmt.Errorf("%s/%w", folder, fileErr)
	}
	return fileErrs
}
